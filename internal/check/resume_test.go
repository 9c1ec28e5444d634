package check

import (
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

// A node dies with streams open. Callers take the last event id that they got to
// another node, and each gets every word once; the account is billed for one answer.
func TestCallersResumeAtAnotherNode(t *testing.T) {
	is := is.New(t)
	kill, _ := FaultNamed("kill, callers read on")
	resumed := 0
	for seed := uint64(1); seed <= 4; seed++ {
		record, reach := play(t, Cell{Injections: []Injection{{Fault: kill, Step: fake.StepMidStream, Nth: 8}}, Seed: seed})
		is.Equal(reach.Missing, "")
		for _, v := range Check(record) {
			t.Errorf("seed %d: %s", seed, v)
		}
		for _, op := range record.Chats {
			if op.Resumed {
				resumed++
				is.Equal(op.Text, op.Want)
			}
		}
	}
	t.Logf("%d answers were read on", resumed)
	is.True(resumed > 0)
}

// An engine that leaves out a word of what it is asked for again would give a caller an
// answer with a hole that ends as whole.
func TestFindsGapInResumedAnswer(t *testing.T) {
	is := is.New(t)
	kill, _ := FaultNamed("kill, callers read on")
	found := false
	for seed := uint64(1); seed <= 4; seed++ {
		cell := Cell{Injections: []Injection{{Fault: kill, Step: fake.StepMidStream, Nth: 8}}, Seed: seed}
		found = found || broke(withDefect(t, cell, func(h *Harness) {
			h.Upstreams.SetFaults(fake.UpstreamFaults{SkipOnResume: 1})
		}), WholeAnswer)
	}
	is.True(found)
}
