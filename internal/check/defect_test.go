package check

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/internal/fake"
)

// withDefect plays a history with a planted defect and returns what Check finds.
func withDefect(t *testing.T, cell Cell, plant func(*Harness)) []Violation {
	t.Helper()
	var record *Record
	synctest.Test(t, func(*testing.T) { record, _ = cell.run(fake.NewClock(), plant) })
	return Check(record)
}

func broke(violations []Violation, promise Invariant) bool {
	for _, v := range violations {
		if v.Invariant == promise {
			return true
		}
	}
	return false
}

// onEveryLog plants a defect in what each node writes or reads.
func onEveryLog(onAppend func(*recordv1.Batch), onRead func(uint64, *recordv1.Batch)) func(*Harness) {
	return func(h *Harness) {
		h.onStart = func(m *Member) { m.Log().Tamper(onAppend, onRead) }
	}
}

// A node that settles each request under a second id as well bills it twice. The
// client account sees its budget go down twice as fast.
func TestFindsDoubleBilling(t *testing.T) {
	is := is.New(t)
	violations := withDefect(t, Cell{Seed: 1}, onEveryLog(func(batch *recordv1.Batch) { doubleSettlements(batch) }, nil))
	is.True(broke(violations, BilledOnce))
}

// A fold without its duplicate check counts a settlement again when a recovering
// node repeats it. The budget shows more spent than its requests come to.
func TestFindsFoldWithoutDuplicateCheck(t *testing.T) {
	is := is.New(t)
	violations := withDefect(t, Cell{Seed: 1}, onEveryLog(nil, func(_ uint64, batch *recordv1.Batch) { doubleSettlements(batch) }))
	is.True(broke(violations, BilledOnce))
}

func doubleSettlements(batch *recordv1.Batch) {
	for _, entry := range batch.GetEntries() {
		settled := entry.GetSettlements()
		for _, s := range settled.GetSettlements() {
			again := proto.Clone(s).(*recordv1.Settlement)
			again.Request = fmt.Sprintf("%s9%09d", s.GetRequest(), batch.GetSeq())
			settled.Settlements = append(settled.Settlements, again)
		}
	}
}

// stoppedClock tells the node's own questions for the time as if it had stood still.
type stoppedClock struct {
	clockwork.Clock
	at time.Time
}

func (c stoppedClock) Now() time.Time                  { return c.at }
func (c stoppedClock) Since(t time.Time) time.Duration { return c.at.Sub(t) }

// A node that doesn't notice that its right has lapsed spends a share that the
// fleet took back while it was cut off. The same tokens are spent twice, or the
// answers that it gave are never billed.
func TestFindsSpendingALapsedShare(t *testing.T) {
	is := is.New(t)
	violations := withDefect(t, cutWithAStoppedClock(), func(h *Harness) {
		stopClock(h)
		ignoreNotAfter(h)
	})
	is.True(broke(violations, SpendRight))
}

// A node that takes an old configuration record for a new one goes back to what
// operators had replaced. They see their accepted change undone on one node.
func TestFindsApplyingAnOlderConfiguration(t *testing.T) {
	is := is.New(t)
	var first *operatorv1.Change
	violations := withDefect(t, Cell{Seed: 1}, func(h *Harness) {
		h.onStart = func(m *Member) {
			if m.Address() != "127.0.0.1:9001" {
				return
			}
			m.Log().Tamper(nil, func(offset uint64, batch *recordv1.Batch) {
				for _, entry := range batch.GetEntries() {
					first = revert(entry.GetConfig(), first)
				}
			})
		}
	})
	is.True(broke(violations, ConfigNeverReverts))
}

// revert keeps the first change of the resource under test and puts it in place of
// each later one.
func revert(change *recordv1.ConfigChange, first *operatorv1.Change) *operatorv1.Change {
	for _, c := range change.GetChanges() {
		if c.GetResource().GetUpstream().GetName() != spareUpstream {
			continue
		}
		if first == nil {
			first = proto.Clone(c).(*operatorv1.Change)
			continue
		}
		c.Delete = true
	}
	return first
}

// A service that is called a second time for one claimed call files the order
// twice. A crew goes out for nothing.
func TestFindsRunningAClaimedCallAgain(t *testing.T) {
	is := is.New(t)
	violations := withDefect(t, Cell{Seed: 1}, func(h *Harness) { h.Upstreams.SetFaults(fake.UpstreamFaults{RunTwice: true}) })
	is.True(broke(violations, AtMostOnce))
}

// A holder that was paused sends its order after its successor's. An engine that
// ignores fencing numbers takes it, and serves the version that was replaced.
func TestFindsOrdersOfAFormerHolder(t *testing.T) {
	is := is.New(t)
	order := func(fencing uint64, taken bool) fake.EngineOrder {
		return fake.EngineOrder{Upstream: "engine", Fencing: fencing, Accepted: taken}
	}
	is.True(broke(Check(&Record{Orders: []fake.EngineOrder{order(2, true), order(1, true)}}), OneHolder))
	is.True(!broke(Check(&Record{Orders: []fake.EngineOrder{order(2, true), order(1, false)}}), OneHolder))
}
