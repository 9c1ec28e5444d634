package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/event"
)

const leavingAddress = "127.0.0.1:1"

// slowList answers each question with what it holds at that moment, after a delay that
// the test sets.
type slowList struct {
	mu    sync.Mutex
	state platformv1.InstanceState
	delay time.Duration
}

func (l *slowList) set(state platformv1.InstanceState, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state, l.delay = state, delay
}

func (l *slowList) List(ctx context.Context) ([]*platformv1.Instance, error) {
	l.mu.Lock()
	state, delay := l.state, l.delay
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	return []*platformv1.Instance{{Address: leavingAddress, Role: roleUpstream, State: state}}, nil
}

func runInstances(t *testing.T, list *slowList) *Instances {
	clock := clockwork.NewRealClock()
	i := NewInstances(list, clock, event.NewRecorder(event.NewHLC(clock), "test", 100, golog.NewNopLogger()))
	go i.Run(t.Context())
	time.Sleep(10*time.Second + time.Millisecond)
	return i
}

// The platform answers slowly for hours. An upstream that leaves must be seen as soon as
// an answer can tell, or it is sent work until it is gone.
func TestSlowListStillReportsLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := &slowList{state: platformv1.InstanceState_INSTANCE_STATE_LIVE, delay: 4 * time.Second}
		i := runInstances(t, list)
		is.Equal(i.IsLeaving(leavingAddress), false)
		list.set(platformv1.InstanceState_INSTANCE_STATE_LEAVING, 4*time.Second)
		time.Sleep(listInterval + 4*time.Second)
		is.True(i.IsLeaving(leavingAddress))
	})
}

// An answer from before an upstream began to leave comes after one that shows it. It must
// not bring the upstream back for the time until the next answer.
func TestOutdatedListReplyIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := &slowList{state: platformv1.InstanceState_INSTANCE_STATE_LIVE, delay: 4 * time.Second}
		i := runInstances(t, list)
		list.set(platformv1.InstanceState_INSTANCE_STATE_LEAVING, 0)
		time.Sleep(listInterval)
		for range 100 {
			is.True(i.IsLeaving(leavingAddress))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
