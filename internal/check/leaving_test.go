package check

import (
	"testing"

	"github.com/matryer/is"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/internal/fake"
)

func leavingCell() Cell {
	fault, _ := FaultNamed("upstream leaves")
	return Cell{Injections: []Injection{{Fault: fault, Step: fake.StepDispatch, Nth: 1}}, Seed: 1}
}

// Operators declare that an engine leaves. Every node has it in force, and none sends new
// work there; a summary begun there would be cut when the engine goes.
func TestNoNewWorkForALeavingUpstream(t *testing.T) {
	is := is.New(t)
	record, reach := play(t, leavingCell())
	is.Equal(reach.Missing, "")
	is.True(len(record.Leavings) >= 3) // every node folded it
	for _, v := range Check(record) {
		t.Error(v)
	}
}

// A node folds the change and doesn't heed it: it goes on sending work to the engine
// that leaves.
func TestFindsWorkForALeavingUpstream(t *testing.T) {
	is := is.New(t)
	violations := withDefect(t, leavingCell(), onEveryLog(nil, func(_ uint64, batch *recordv1.Batch) {
		for _, entry := range batch.GetEntries() {
			for _, change := range entry.GetConfig().GetChanges() {
				if u := change.GetResource().GetUpstream(); u.GetName() == engineName(0, 0) {
					u.Draining = false
				}
			}
		}
	}))
	is.True(broke(violations, NoWorkForLeaving))
}
