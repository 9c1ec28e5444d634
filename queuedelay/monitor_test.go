package queuedelay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// virtualClock is a boot clock that follows the virtual time of a test.
type virtualClock struct{}

func (virtualClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// monitored is a Monitor whose exchanges take what the test says.
type monitored struct {
	Monitor
	took      [neighbours]atomic.Int64
	exchanges atomic.Int64
	needed    atomic.Bool
}

func runMonitored(t *testing.T, test func(is *is.I, m *monitored)) {
	bubble.Test(t, func(t *testing.T) {
		m := &monitored{}
		m.Clock, m.Events = virtualClock{}, event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), "n", 256, log.NewNopLogger())
		m.Nodes = func() []string { return []string{"0", "1", "2"} }
		m.IsNeeded = m.needed.Load
		m.Exchange = func(ctx context.Context, address string) error {
			m.exchanges.Add(1)
			took := time.Duration(m.took[address[0]-'0'].Load())
			if took < 0 {
				return errors.New("refused")
			}
			select {
			case <-time.After(took):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		m.setTook(2*ms, 2*ms)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		test(is.New(t), m)
		cancel()
		<-done
	})
}

func (m *monitored) setTook(took ...time.Duration) {
	for i, d := range took {
		m.took[i].Store(int64(d))
	}
}

// Guards against a node that takes a neighbour's queue for its own, and one that doesn't see its own.
func TestShorterDelayOfTwoNeighboursCounts(t *testing.T) {
	runMonitored(t, func(is *is.I, m *monitored) {
		m.needed.Store(true)
		time.Sleep(2 * time.Second)
		is.Equal(m.Delay(), 0*ms)
		m.setTook(2*time.Second, 2*ms) // one neighbour is busy
		time.Sleep(2 * time.Second)
		is.Equal(m.Delay(), 0*ms)
		m.setTook(2*time.Second, 1500*ms)
		time.Sleep(usualInterval + 400*ms)
		is.True(m.Delay() >= 300*ms) // before either has answered
		m.setTook(-1, -1)
		time.Sleep(4 * time.Second)
		is.Equal(m.Delay(), 0*ms) // unknown
	})
}

// Guards against time-outs cut short since all neighbours are paused, starved or gone, while nothing waits at this node.
func TestLateNeighboursAreNoQueueOfThisNode(t *testing.T) {
	runMonitored(t, func(is *is.I, m *monitored) {
		m.needed.Store(true)
		time.Sleep(2 * time.Second)
		m.setTook(2*time.Second, -1) // one is late, the other gone
		time.Sleep(2 * time.Second)
		is.True(m.Delay() >= time.Second)
		is.Equal(m.OwnDelay(), 0*ms)
		m.setTook(2*time.Second, 2*time.Second)
		time.Sleep(8 * time.Second)
		is.True(m.OwnDelay() >= time.Second) // all that can be known without the link's use
	})
}

// Guards against the same where the use of the link tells that nothing waits there.
func TestUnusedLinkHasNoQueue(t *testing.T) {
	is := is.New(t)
	clock, counter := &bootclock.Fake{}, &fakeCounter{}
	m := &Monitor{Clock: clock, Link: NewLink(counter, 8)} // 1 MB a second
	m.Link.Sample(clock.Now())
	for i := range m.asked {
		m.asked[i].begin("a", clock.Now())
	}
	pass := func(bytes int64) {
		clock.Advance(time.Second)
		counter.received += bytes
		m.Link.Sample(clock.Now())
	}
	pass(100_000)
	is.Equal(m.Delay(), time.Second)
	is.Equal(m.OwnDelay(), 0*ms)
	pass(700_000)
	is.Equal(m.OwnDelay(), 2*time.Second)
}

// Guards against exchanges that cost an idle fleet messages, and against too few of them where a queue grows.
func TestExchangesAreRareUnlessAQueueGrows(t *testing.T) {
	runMonitored(t, func(is *is.I, m *monitored) {
		count := func(d time.Duration) int64 {
			before := m.exchanges.Load()
			time.Sleep(d)
			return m.exchanges.Load() - before
		}
		is.Equal(count(10*time.Second), int64(0))
		m.needed.Store(true)
		usual := count(10 * time.Second)
		is.True(usual <= neighbours*int64(10*time.Second/usualInterval))
		m.setTook(60*ms, 60*ms)
		busy := count(10 * time.Second)
		is.True(busy > 2*usual)
		is.True(busy <= neighbours*int64(10*time.Second/shortInterval))
		is.True(m.Events.Counts()[event.ExchangesLate.Kind().Name] <= 11) // one a second
	})
}
