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
// or runs twice where upstreams don't check how late it is. That it arrives late remains.
func TestLateCallAtUpstreamsThatDoNotCheck(t *testing.T) {
	for _, seed := range []uint64{5060, 5061, 5062, 5063} {
		cell := lateCall(seed)
		violations := withDefect(t, cell, ignoreNotAfter)
		for _, v := range violations {
			if v.Invariant != SpendRight {
				t.Errorf("seed %d: %s", seed, v)
			}
		}
	}
}

// ignoreNotAfter plants upstreams that run whatever arrives, however late.
func ignoreNotAfter(h *Harness) { h.Upstreams.SetFaults(fake.UpstreamFaults{IgnoreNotAfter: true}) }

// Guards against a checker that doesn't see a late call.
func TestFindsALateCall(t *testing.T) {
	is := is.New(t)
	violations := withDefect(t, lateCall(5060), ignoreNotAfter)
	is.True(broke(violations, SpendRight))
}

// lateCall stops a node as it is about to send a keyed call, which goes on without its
// caller, until its right has ended.
func lateCall(seed uint64) Cell {
	pause, _ := FaultNamed("pause past the right")
	pause.strike = func(h *Harness, m *Member) {
		body := h.nextChange()
		h.Go(func() { h.Call(m, sceneAccounts[0], "POST", body, body) })
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

// Guards against a node whose clock stands still sending work that its right no longer
// covers: what it believes is wrong, and upstreams refuse what it sends.
func TestStoppedClockSendsNothingLate(t *testing.T) {
	is := is.New(t)
	var record *Record
	synctest.Test(t, func(*testing.T) {
		record, _ = cutWithAStoppedClock().run(fake.NewClock(), stopClock)
	})
	is.True(!broke(Check(record), SpendRight))
}

// cutWithAStoppedClock cuts the log off while one node doesn't notice that time passes.
func cutWithAStoppedClock() Cell {
	cut, _ := FaultNamed("two-way cut")
	cut.strike = func(h *Harness, _ *Member) { h.Network.Isolate(fake.LogEndpoint, true, true) }
	cut.Duration = 2 * time.Minute
	return Cell{Injections: []Injection{{Fault: cut, Step: fake.StepDispatch, Nth: 1}}, Seed: 1}
}

func stopClock(h *Harness) {
	began := h.clock.Now()
	h.nodeClock = func(at string) clockwork.Clock {
		if at == "127.0.0.1:9000" {
			return stoppedClock{h.clock, began}
		}
		return h.clock
	}
}
