package check

import (
	"fmt"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/fake"
)

// Status is what a cell of the matrix came to.
type Status string

// The states of a cell. A cell is held only when every fault struck.
const (
	Held     Status = "held"
	Broken   Status = "broken"
	NotBuilt Status = "not built"
)

// CellResult is one cell's verdict with what reproduces it.
type CellResult struct {
	Faults     []string
	Steps      []string
	Seed       uint64
	Status     Status
	Missing    string   `json:",omitempty"`
	Violations []string `json:",omitempty"`
	// Command plays the cell again.
	Command string
	// Timeline holds the events that a broken promise names; all when it names none.
	Timeline []event.Event `json:"-"`
}

// Singles returns every fault at every step.
func Singles(timing Timing, seed uint64) []Cell {
	var cells []Cell
	for _, fault := range AllFaults(timing) {
		for _, step := range Steps() {
			cells = append(cells, Cell{Injections: []Injection{{Fault: fault, Step: step, Nth: 1}}, Seed: seed})
		}
	}
	return cells
}

// RunCell runs a cell on the clock and judges it. The clock should be virtual.
func RunCell(clock clockwork.Clock, cell Cell) (*Record, Coverage) { return cell.Run(clock) }

// Evaluate judges a cell's record. It needs real time and must run outside a bubble.
func Evaluate(cell Cell, record *Record, reach Coverage) CellResult {
	result := CellResult{Seed: cell.Seed, Status: Held, Command: commandOf(cell)}
	for _, s := range cell.Injections {
		result.Faults = append(result.Faults, s.Fault.Name)
		result.Steps = append(result.Steps, string(s.Step))
	}
	violations := Check(record)
	for _, v := range violations {
		result.Violations = append(result.Violations, v.String())
	}
	switch {
	case reach.Missing != "":
		result.Status, result.Missing = NotBuilt, reach.Missing
	case len(violations) > 0:
		result.Status = Broken
		result.Timeline = timelineOf(record, violations)
	}
	return result
}

func commandOf(cell Cell) string {
	if len(cell.Injections) == 1 {
		return fmt.Sprintf("lavenderbench matrix --fault %q --step %q --seed %d", cell.Injections[0].Fault.Name, cell.Injections[0].Step, cell.Seed)
	}
	flags := ""
	if cell.AnyStep {
		flags = " --any-step"
	}
	if cell.ResumeStreams {
		flags += " --read-on"
	}
	return fmt.Sprintf("lavenderbench matrix --pairs%s --seeds 1 --seed %d", flags, cell.Seed)
}

// timelineOf returns the events that carry an id of the violations.
func timelineOf(record *Record, violations []Violation) []event.Event {
	ids := map[string]bool{}
	for _, v := range violations {
		for _, id := range v.IDs {
			ids[id] = id != ""
		}
	}
	var events []event.Event
	for _, e := range record.Events {
		if len(ids) == 0 || carriesAny(e, ids) || isFleetEvent(e.Number) {
			events = append(events, e)
		}
	}
	return events
}

func carriesAny(e event.Event, ids map[string]bool) bool {
	for _, value := range e.Fields {
		if ids[value] {
			return true
		}
	}
	return ids[e.Node] && e.Number != event.AddressesHandedOut
}

// isFleetEvent tells events that explain any request's story.
func isFleetEvent(n event.Number) bool {
	switch n {
	case event.NodeStarting, event.NodeServing, event.NodeDraining, event.NodeStopped, event.NodeClosed,
		event.IncarnationClosed, event.SpendRightLapsed:
		return true
	}
	return false
}

// StepNamed returns the step of that name; false when there is none.
func StepNamed(name string) (fake.Step, bool) {
	for _, step := range Steps() {
		if string(step) == name {
			return step, true
		}
	}
	return "", false
}

// FaultNamed returns the fault of that name; false when there is none.
func FaultNamed(name string) (Fault, bool) {
	for _, fault := range AllFaults(DefaultTiming()) {
		if fault.Name == name {
			return fault, true
		}
	}
	return Fault{}, false
}
