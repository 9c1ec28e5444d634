package check

import (
	"math/rand/v2"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

const (
	// maxNth is the highest occurrence of a step at which a pair injects a fault.
	maxNth = 3
	// reachesPerNth is how often a step must be reached without faults for each occurrence
	// that a pair waits for: the first fault makes later occurrences rarer.
	reachesPerNth = 3
)

// Pairs returns n cells of two faults each at any steps, drawn from the seed; each cell's
// own seed alone reproduces it.
func Pairs(timing Timing, seed uint64, n int) []Cell {
	var cells []Cell
	for i := range n {
		cells = append(cells, Pair(timing, seed+uint64(i)))
	}
	return cells
}

// Pair returns the pair of faults of a seed at any two steps. Many of these steps are never
// reached as often as the seed requires.
func Pair(timing Timing, seed uint64) Cell {
	r := rand.New(rand.NewPCG(seed, seed))
	faults, steps := Faults(timing), Steps()
	cell := Cell{Seed: seed, AnyStep: true}
	for range 2 {
		cell.Injections = append(cell.Injections, Injection{
			Fault: faults[r.IntN(len(faults))], Step: steps[r.IntN(len(steps))], Nth: 1 + r.IntN(maxNth)})
	}
	return cell
}

// ReachedPair returns the pair of faults of a seed at steps that its history reaches. It
// runs that history once without faults to find out.
func ReachedPair(clock clockwork.Clock, timing Timing, seed uint64) (Cell, error) {
	reached, err := reachedSteps(clock, seed)
	if err != nil {
		return Cell{}, err
	}
	return pairAtReachedSteps(timing, seed, reached), nil
}

// pairAtReachedSteps draws steps in an order given by the seed and takes the first that is
// reached, so that a step reached in only some runs changes few pairs.
func pairAtReachedSteps(timing Timing, seed uint64, reached map[fake.Step]int) Cell {
	r := rand.New(rand.NewPCG(seed, seed))
	faults, steps := Faults(timing), Steps()
	cell := Cell{Seed: seed}
	for range 2 {
		injection := Injection{Fault: faults[r.IntN(len(faults))], Nth: 1 + r.IntN(maxNth)}
		for _, i := range r.Perm(len(steps)) {
			if reached[steps[i]] > 0 {
				injection.Step = steps[i]
				break
			}
		}
		injection.Nth = min(injection.Nth, max(1, reached[injection.Step]/reachesPerNth))
		cell.Injections = append(cell.Injections, injection)
	}
	return cell
}

// reachedSteps counts the steps that the history of a seed takes without faults while faults
// could be injected.
func reachedSteps(clock clockwork.Clock, seed uint64) (map[fake.Step]int, error) {
	h := NewHarness(clock, seed)
	run := &cellRun{harness: h, cell: Cell{Seed: seed}}
	defer h.Stop()
	if err := run.startFleet(); err != nil {
		return nil, err
	}
	before := map[fake.Step]int{}
	h.After(armDelay, func() {
		for _, step := range Steps() {
			before[step] = h.StepCount(step)
		}
	})
	h.workload("first")
	// A history that injects at one of these steps makes it happen once.
	reached := map[fake.Step]int{fake.StepRecovery: 1, fake.StepDrain: 1}
	for _, step := range Steps() {
		reached[step] += h.StepCount(step) - before[step]
	}
	return reached, nil
}

// RunReachedPair draws a seed's pair and runs it, all on the clock, which should be virtual.
func RunReachedPair(clock clockwork.Clock, timing Timing, seed uint64) (Cell, *Record, Coverage) {
	cell, err := ReachedPair(clock, timing, seed)
	if err != nil {
		return Cell{Seed: seed}, &Record{Stuck: []string{err.Error()}}, Coverage{}
	}
	record, coverage := RunCell(clock, cell)
	return cell, record, coverage
}
