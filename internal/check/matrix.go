package check

import (
	"fmt"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/fake"
)

// Status is the result of a matrix cell.
type Status string

// The possible results. A cell is held only if every fault was injected.
const (
	Held     Status = "held"
	Broken   Status = "broken"
	NotBuilt Status = "not built"
)

// CellResult is the result of one cell and how to reproduce it.
type CellResult struct {
	Faults     []string
	Steps      []string
	Seed       uint64
	Status     Status
	Missing    string   `json:",omitempty"`
	Violations []string `json:",omitempty"`
	// Command runs the cell again.
	Command string
	// Timeline holds the events that mention an ID of the violations, or all events if the
	// violations name none.
	Timeline []event.Event `json:"-"`
}

// Singles returns a cell for every fault at every step.
func Singles(timing Timing, seed uint64) []Cell {
	var cells []Cell
	for _, fault := range AllFaults(timing) {
		for _, step := range Steps() {
			cells = append(cells, Cell{Injections: []Injection{{Fault: fault, Step: step, Nth: 1}}, Seed: seed})
		}
	}
	return cells
}

// RunCell runs a cell on the clock, which should be virtual.
func RunCell(clock clockwork.Clock, cell Cell) (*Record, Coverage) { return cell.Run(clock) }

// Evaluate checks a cell's record. It needs real time and must run outside a synctest
// bubble.
func Evaluate(cell Cell, record *Record, coverage Coverage) CellResult {
	result := CellResult{Seed: cell.Seed, Status: Held, Command: reproductionCommand(cell)}
	for _, s := range cell.Injections {
		result.Faults = append(result.Faults, s.Fault.Name)
		result.Steps = append(result.Steps, string(s.Step))
	}
	violations := Check(record)
	for _, v := range violations {
		result.Violations = append(result.Violations, v.String())
	}
	switch {
	case coverage.Missing != "":
		result.Status, result.Missing = NotBuilt, coverage.Missing
	case len(violations) > 0:
		result.Status = Broken
		result.Timeline = relevantEvents(record, violations)
	}
	return result
}

func reproductionCommand(cell Cell) string {
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

// relevantEvents returns the events that mention an ID of the violations, and the lifecycle
// events.
func relevantEvents(record *Record, violations []Violation) []event.Event {
	ids := map[string]bool{}
	for _, v := range violations {
		for _, id := range v.IDs {
			ids[id] = id != ""
		}
	}
	var events []event.Event
	for _, e := range record.Events {
		if len(ids) == 0 || mentionsAny(e, ids) || isLifecycleEvent(e.Number) {
			events = append(events, e)
		}
	}
	return events
}

func mentionsAny(e event.Event, ids map[string]bool) bool {
	for _, value := range e.Fields {
		if ids[value] {
			return true
		}
	}
	return ids[e.Node] && e.Number != event.AddressesHandedOut
}

// isLifecycleEvent reports whether an event belongs in every timeline.
func isLifecycleEvent(number event.Number) bool {
	switch number {
	case event.NodeStarting, event.NodeServing, event.NodeDraining, event.NodeStopped, event.NodeClosed,
		event.IncarnationClosed, event.SpendRightLapsed:
		return true
	}
	return false
}

// StepNamed returns the step of that name, or false if there is none.
func StepNamed(name string) (fake.Step, bool) {
	for _, step := range Steps() {
		if string(step) == name {
			return step, true
		}
	}
	return "", false
}

// FaultNamed returns the fault of that name, or false if there is none.
func FaultNamed(name string) (Fault, bool) {
	for _, fault := range AllFaults(DefaultTiming()) {
		if fault.Name == name {
			return fault, true
		}
	}
	return Fault{}, false
}
