package recovery

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/fold"
)

const testRight = 10 * time.Minute

type watcherTest struct {
	*Watcher
	clock     *clockwork.FakeClock
	ledger    *budget.Ledger
	reachable bool
	offset    uint64
}

func newWatcherTest() *watcherTest {
	w := &watcherTest{clock: clockwork.NewFakeClock(), ledger: budget.NewLedger(), reachable: true}
	w.Watcher = NewWatcher("self", w.clock, w.ledger, func() bool { return w.reachable })
	return w
}

func (w *watcherTest) beat(number uint64) {
	w.offset++
	entry := &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{
		Number: number, RightMs: uint64(testRight.Milliseconds()), Node: &recordv1.NodeInfo{PeerAddress: "n"},
	}}}
	verdict, _ := w.ledger.Apply(fold.Position{Offset: w.offset, Writer: "n"}, entry)
	w.Folded(&recordv1.Batch{Writer: "n", Entries: []*recordv1.Entry{entry}}, []fold.Verdict{verdict})
}

// A node falls silent. Closing it before its right has run out, by its own clock
// that may be a little slow, would let two nodes spend the same tokens.
func TestClosesOnlyAfterSpendRightAndMargin(t *testing.T) {
	is := is.New(t)
	w := newWatcherTest()
	is.Equal(len(w.Due()), 0)
	w.beat(1)
	w.clock.Advance(testRight + testRight*driftPercent/100)
	is.Equal(len(w.Due()), 0)
	w.clock.Advance(time.Second)
	due := w.Due()
	is.Equal(len(due), 1)
	is.Equal(due[0].GetLastHeartbeat(), uint64(1))
	is.Equal(len(w.Due()), 0) // asked already
}

// The log comes back after an outage longer than the right. All nodes are alive and
// their heartbeats are on the way; were they closed now, the whole fleet would stop.
func TestWaitsForStableLog(t *testing.T) {
	is := is.New(t)
	w := newWatcherTest()
	w.Due()
	w.beat(1)
	w.reachable = false
	w.clock.Advance(3 * testRight)
	is.Equal(len(w.Due()), 0)
	w.reachable = true
	is.Equal(len(w.Due()), 0)
	w.clock.Advance(logGrace / 2)
	w.beat(2)
	w.clock.Advance(logGrace)
	is.Equal(len(w.Due()), 0)
}

// A node joins with a snapshot and never folded the heartbeats itself. It must
// count from then on, not from the beginning of time.
func TestCountsFromSnapshot(t *testing.T) {
	is := is.New(t)
	w := newWatcherTest()
	w.Due()
	w.beat(1)
	later := NewWatcher("self", w.clock, w.ledger, func() bool { return true })
	w.clock.Advance(logGrace)
	is.Equal(len(later.Due()), 0)
	w.clock.Advance(testRight)
	is.Equal(len(later.Due()), 0)
	w.clock.Advance(testRight)
	is.Equal(len(later.Due()), 1)
}
