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

// Operators declare that an engine leaves. Every node applies the change and none sends new
// work there: a response begun there would be cut off when the engine goes.
func TestNoNewWorkForALeavingUpstream(t *testing.T) {
	is := is.New(t)
	record, coverage := runCell(t, leavingCell())
	is.Equal(coverage.Missing, "")
	is.True(len(record.Leavings) >= 3) // every node folded the change
	for _, v := range Check(record) {
		t.Error(v)
	}
}

// A node that folds the change without acting on it keeps sending work to the leaving
// engine.
func TestFindsWorkForALeavingUpstream(t *testing.T) {
	is := is.New(t)
	violations := checkWithDefect(t, leavingCell(), tamperAllLogs(nil, func(_ uint64, batch *recordv1.Batch) {
		for _, entry := range batch.GetEntries() {
			for _, change := range entry.GetConfig().GetChanges() {
				if u := change.GetResource().GetUpstream(); u.GetName() == engineName(0, 0) {
					u.Draining = false
				}
			}
		}
	}))
	is.True(violates(violations, NoWorkForLeaving))
}
