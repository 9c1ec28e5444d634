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

// checkWithDefect runs a cell with a defect that setup installs, and returns what Check
// finds.
func checkWithDefect(t *testing.T, cell Cell, setup func(*Harness)) []Violation {
	t.Helper()
	var record *Record
	synctest.Test(t, func(*testing.T) { record, _ = cell.run(fake.NewClock(), setup) })
	return Check(record)
}

func violates(violations []Violation, invariant Invariant) bool {
	for _, v := range violations {
		if v.Invariant == invariant {
			return true
		}
	}
	return false
}

// tamperAllLogs installs a defect in what each node writes to or reads from the log.
func tamperAllLogs(onAppend func(*recordv1.Batch), onRead func(uint64, *recordv1.Batch)) func(*Harness) {
	return func(h *Harness) {
		h.onStart = func(m *Member) { m.Log().Tamper(onAppend, onRead) }
	}
}

// A node that settles each request under a second ID as well bills it twice: the client
// account's budget decreases twice as fast.
func TestFindsDoubleBilling(t *testing.T) {
	is := is.New(t)
	violations := checkWithDefect(t, Cell{Seed: 1}, tamperAllLogs(func(batch *recordv1.Batch) { duplicateSettlements(batch) }, nil))
	is.True(violates(violations, BilledOnce))
}

// A fold without its duplicate check counts a settlement again when a recovering node
// repeats it: the budget shows more spent than its requests add up to.
func TestFindsFoldWithoutDuplicateCheck(t *testing.T) {
	is := is.New(t)
	violations := checkWithDefect(t, Cell{Seed: 1}, tamperAllLogs(nil, func(_ uint64, batch *recordv1.Batch) { duplicateSettlements(batch) }))
	is.True(violates(violations, BilledOnce))
}

func duplicateSettlements(batch *recordv1.Batch) {
	for _, entry := range batch.GetEntries() {
		settled := entry.GetSettlements()
		for _, s := range settled.GetSettlements() {
			again := proto.Clone(s).(*recordv1.Settlement)
			again.Request = fmt.Sprintf("%s9%09d", s.GetRequest(), batch.GetSeq())
			settled.Settlements = append(settled.Settlements, again)
		}
	}
}

// stoppedClock answers a node's reads of the time as if time stood still.
type stoppedClock struct {
	clockwork.Clock
	at time.Time
}

func (c stoppedClock) Now() time.Time                  { return c.at }
func (c stoppedClock) Since(t time.Time) time.Duration { return c.at.Sub(t) }

// A node that does not notice that its spend right has lapsed spends a share that the fleet
// took back while the node was cut off: the same tokens are spent twice, or its responses
// are never billed.
func TestFindsSpendingALapsedShare(t *testing.T) {
	is := is.New(t)
	violations := checkWithDefect(t, stoppedClockCell(), func(h *Harness) {
		stopFirstMemberClock(h)
		ignoreDeadlines(h)
	})
	is.True(violates(violations, SpendRight))
}

// A node that takes an old configuration record for a new one reverts to what operators had
// replaced: an accepted change is undone on one node.
func TestFindsApplyingAnOlderConfiguration(t *testing.T) {
	is := is.New(t)
	var first *operatorv1.Change
	violations := checkWithDefect(t, Cell{Seed: 1}, func(h *Harness) {
		h.onStart = func(m *Member) {
			if m.Address() != "127.0.0.1:9001" {
				return
			}
			m.Log().Tamper(nil, func(offset uint64, batch *recordv1.Batch) {
				for _, entry := range batch.GetEntries() {
					first = deleteLaterChanges(entry.GetConfig(), first)
				}
			})
		}
	})
	is.True(violates(violations, ConfigNeverReverts))
}

// deleteLaterChanges keeps the first change of the resource under test and turns each later
// one into a deletion.
func deleteLaterChanges(change *recordv1.ConfigChange, first *operatorv1.Change) *operatorv1.Change {
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

// A service that is called a second time for one claimed call files the work order twice,
// and a crew goes out for nothing.
func TestFindsRunningAClaimedCallAgain(t *testing.T) {
	is := is.New(t)
	violations := checkWithDefect(t, Cell{Seed: 1}, func(h *Harness) { h.Upstreams.SetFaults(fake.UpstreamFaults{RunTwice: true}) })
	is.True(violates(violations, AtMostOnce))
}

// A paused lease holder sends its order after its successor's. An engine that ignores
// fencing numbers accepts it and serves the version that was replaced.
func TestFindsOrdersOfAFormerHolder(t *testing.T) {
	is := is.New(t)
	order := func(fencing uint64, taken bool) fake.EngineOrder {
		return fake.EngineOrder{Upstream: "engine", Fencing: fencing, Accepted: taken}
	}
	is.True(violates(Check(&Record{Orders: []fake.EngineOrder{order(2, true), order(1, true)}}), OneHolder))
	is.True(!violates(Check(&Record{Orders: []fake.EngineOrder{order(2, true), order(1, false)}}), OneHolder))
}
