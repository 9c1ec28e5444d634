package orders

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The holder is stopped exactly between its last look at the lease and the send, and woken
// when another has taken over and given orders. An engine that ignores fencing numbers
// takes the late order, which states what was right long ago. The region must keep a copy
// of the model all the same, and the rollout must end as declared.
func TestHolderPausedBetweenLeaseCheckAndSend(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for step := 1; step <= 6; step++ {
			for _, stop := range []time.Duration{TakeoverDelay + 4*time.Second, 40 * time.Second, 100 * time.Second} {
				t.Run(fmt.Sprintf("checks=%v/step=%d/stop=%s", checks, step, stop), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { stopAtStep(t, checks, step, stop) })
				})
			}
		}
	}
}

func stopAtStep(t *testing.T, checks bool, step int, stop time.Duration) {
	is := is.New(t)
	engines := twoRegions(checks)
	view := viewOf(t, engines, 2)
	lessor := &fakeLessor{epoch: 1}
	stopped := make(chan struct{})
	engines.onSend = func(n int) bool {
		if n == step {
			lessor.set(0)
			close(stopped)
			time.Sleep(stop)
		}
		return true
	}
	go newExecutor(lessor, engines, view, time.Second).Run(t.Context())
	<-stopped
	engines.swapLoads()
	go newExecutor(&fakeLessor{epoch: 2}, engines, view, time.Second).Run(t.Context())
	time.Sleep(30 * time.Minute)
	is.Equal(engines.holders(newModel), 3)
	is.Equal(engines.holders(oldModel), 0)
	for _, violation := range engines.violations {
		// What only the engine could prevent is that it takes the order at all.
		is.True(!checks && strings.HasPrefix(violation, "an old holder's order"))
	}
}

// swapLoads makes the engine that planners would pick first the last one.
func (f *fakeEngines) swapLoads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, e := range f.engines {
		e.report.InFlight = 0
		if strings.HasSuffix(name, "-1") {
			e.report.InFlight = 1
		}
	}
}

// Two full engines of a region hold the old version, and the former holder's order to make
// room on the first is late. Were the second dropped by the new holder meanwhile, as either
// order alone allows, callers of the region would be refused.
func TestLateOrderDoesNotCombineWithSecondDrop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newFakeEngines(engineIn("east", "east-1", false, oldModel), engineIn("east", "east-2", false, oldModel))
		engines.watched = oldModel.Name
		engines.engines["east-1"].report.Capacity, engines.engines["east-2"].report.Capacity = 1, 1
		view := viewOf(t, engines, 1)
		lessor := &fakeLessor{epoch: 1}
		stopped := make(chan struct{})
		engines.onSend = func(n int) bool {
			if n == 1 {
				lessor.set(0)
				close(stopped)
				time.Sleep(TakeoverDelay + 4*time.Second) // while the new holder's first order is at work
			}
			return true
		}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go newExecutor(lessor, engines, view, time.Second).Run(ctx)
		<-stopped
		engines.swapLoads()
		go newExecutor(&fakeLessor{epoch: 2}, engines, view, time.Second).Run(t.Context())
		time.Sleep(30 * time.Minute)
		is.Equal(engines.holders(newModel), 1)
		for _, violation := range engines.violations {
			is.True(strings.HasPrefix(violation, "an old holder's order"))
		}
	})
}
