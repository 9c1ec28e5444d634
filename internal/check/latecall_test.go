package check

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

// Guards against a late call that costs an account more than it prepaid, is billed wrongly
// or runs twice at upstreams that do not check the deadline. The late arrival itself
// (SpendRight) remains.
func TestLateCallAtUpstreamsThatDoNotCheck(t *testing.T) {
	for _, seed := range []uint64{5060, 5061, 5062, 5063} {
		cell := lateCallCell(seed)
		violations := checkWithDefect(t, cell, ignoreDeadlines)
		for _, v := range violations {
			if v.Invariant != SpendRight {
				t.Errorf("seed %d: %s", seed, v)
			}
		}
	}
}

// ignoreDeadlines makes the upstreams run whatever arrives, however late.
func ignoreDeadlines(h *Harness) { h.Upstreams.SetFaults(fake.UpstreamFaults{IgnoreNotAfter: true}) }

// Guards against a checker that does not detect a late call.
func TestFindsALateCall(t *testing.T) {
	is := is.New(t)
	violations := checkWithDefect(t, lateCallCell(5060), ignoreDeadlines)
	is.True(violates(violations, SpendRight))
}

// lateCallCell pauses a node just before it sends a keyed call, which continues without its
// caller, until the node's spend right has ended.
func lateCallCell(seed uint64) Cell {
	pause, _ := FaultNamed("pause past the right")
	pause.inject = func(h *Harness, m *Member) {
		body := h.nextChangeID()
		h.Go(func() { h.Call(m, fixtureAccounts[0], "POST", body, body) })
		gate := m.Gate()
		var sends atomic.Int64
		h.Arm(func(step fake.Step, at string) {
			if step != fake.StepCall || at != m.Address() {
				return
			}
			if sends.Add(1) == 1 {
				gate.Pause()
			}
		})
	}
	return Cell{Injections: []Injection{{Fault: pause, Step: fake.StepReserve, Nth: 1}}, Seed: seed}
}

// Guards against a node with a stopped clock sending work that its spend right no longer
// covers: the node believes the right still holds, and upstreams refuse what it sends.
func TestStoppedClockSendsNothingLate(t *testing.T) {
	is := is.New(t)
	var record *Record
	synctest.Test(t, func(*testing.T) {
		record, _ = stoppedClockCell().run(fake.NewClock(), stopFirstMemberClock)
	})
	is.True(!violates(Check(record), SpendRight))
}

// stoppedClockCell cuts the log off from every node while the clock of one node stands
// still.
func stoppedClockCell() Cell {
	cut, _ := FaultNamed("two-way cut")
	cut.inject = func(h *Harness, _ *Member) { h.Network.Isolate(fake.LogEndpoint, true, true) }
	cut.Duration = 2 * time.Minute
	return Cell{Injections: []Injection{{Fault: cut, Step: fake.StepDispatch, Nth: 1}}, Seed: 1}
}

func stopFirstMemberClock(h *Harness) {
	began := h.clock.Now()
	h.nodeClock = func(at string) clockwork.Clock {
		if at == "127.0.0.1:9000" {
			return stoppedClock{h.clock, began}
		}
		return h.clock
	}
}
