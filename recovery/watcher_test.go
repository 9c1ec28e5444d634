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

type testWatcher struct {
	*Watcher
	clock     *clockwork.FakeClock
	ledger    *budget.Ledger
	reachable bool
	offset    uint64
}

func newTestWatcher() *testWatcher {
	w := &testWatcher{clock: clockwork.NewFakeClock(), ledger: budget.NewLedger(), reachable: true}
	w.Watcher = NewWatcher("self", w.clock, w.ledger, func() bool { return w.reachable })
	return w
}

func (w *testWatcher) heartbeat(number uint64) {
	w.offset++
	entry := &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{
		Number: number, RightMs: uint64(testRight.Milliseconds()), Node: &recordv1.NodeInfo{PeerAddress: "n"},
	}}}
	verdict, _ := w.ledger.Apply(fold.Position{Offset: w.offset, Writer: "n"}, entry)
	w.HandleFolded(&recordv1.Batch{Writer: "n", Entries: []*recordv1.Entry{entry}}, []fold.Verdict{verdict})
}

// A node goes silent. Closing it before its right to spend has expired by its own clock,
// which may be a little slow, would let two nodes spend the same tokens.
func TestClosesOnlyAfterSpendRightAndMargin(t *testing.T) {
	is := is.New(t)
	w := newTestWatcher()
	is.Equal(len(w.Due()), 0)
	w.heartbeat(1)
	w.clock.Advance(testRight + testRight*clockMarginPercent/100)
	is.Equal(len(w.Due()), 0)
	w.clock.Advance(time.Second)
	due := w.Due()
	is.Equal(len(due), 1)
	is.Equal(due[0].GetLastHeartbeat(), uint64(1))
	is.Equal(len(w.Due()), 0) // already submitted
}

// The log recovers from an outage longer than the right to spend. All nodes are alive and
// their heartbeats are in flight; closing them now would stop the whole fleet.
func TestWaitsForStableLog(t *testing.T) {
	is := is.New(t)
	w := newTestWatcher()
	w.Due()
	w.heartbeat(1)
	w.reachable = false
	w.clock.Advance(3 * testRight)
	is.Equal(len(w.Due()), 0)
	w.reachable = true
	is.Equal(len(w.Due()), 0)
	w.clock.Advance(logStabilityPeriod / 2)
	w.heartbeat(2)
	w.clock.Advance(logStabilityPeriod)
	is.Equal(len(w.Due()), 0)
}

// A node starts from a snapshot and never folded the heartbeats itself. It must measure the
// silence from its start, not from the zero time.
func TestCountsFromSnapshot(t *testing.T) {
	is := is.New(t)
	w := newTestWatcher()
	w.Due()
	w.heartbeat(1)
	restored := NewWatcher("self", w.clock, w.ledger, func() bool { return true })
	w.clock.Advance(logStabilityPeriod)
	is.Equal(len(restored.Due()), 0)
	w.clock.Advance(testRight)
	is.Equal(len(restored.Due()), 0)
	w.clock.Advance(testRight)
	is.Equal(len(restored.Due()), 1)
}
