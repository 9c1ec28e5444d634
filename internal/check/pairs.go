package check

import (
	"math/rand/v2"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

const (
	// latestNth is the latest time of a step that a pair strikes at.
	latestNth = 3
	// spareReaches is how often a step must be reached without faults for each time
	// that a pair waits for: the first fault makes later ones rarer.
	spareReaches = 3
)

// Pairs returns n cells of two faults drawn from the seed, at any steps; each cell's
// own seed alone brings it back.
func Pairs(timing Timing, seed uint64, n int) []Cell {
	var cells []Cell
	for i := range n {
		cells = append(cells, Pair(timing, seed+uint64(i)))
	}
	return cells
}

// Pair returns the pair of faults that a seed stands for, at any two steps: many of
// them are never reached as often as the seed asks.
func Pair(timing Timing, seed uint64) Cell {
	r := rand.New(rand.NewPCG(seed, seed))
	faults, steps := Faults(timing), Steps()
	cell := Cell{Seed: seed, AnyStep: true}
	for range 2 {
		cell.Injections = append(cell.Injections, Injection{
			Fault: faults[r.IntN(len(faults))], Step: steps[r.IntN(len(steps))], Nth: 1 + r.IntN(latestNth)})
	}
	return cell
}

// ReachedPair returns the pair of faults that a seed stands for, at steps that its
// history reaches. It plays that history once without faults to find out.
func ReachedPair(clock clockwork.Clock, timing Timing, seed uint64) (Cell, error) {
	reached, err := reachedSteps(clock, seed)
	if err != nil {
		return Cell{}, err
	}
	return pairAmong(timing, seed, reached), nil
}

// pairAmong draws steps in an order of the seed and takes the first that is reached,
// so that a step reached in one play and not in another changes few pairs.
func pairAmong(timing Timing, seed uint64, reached map[fake.Step]int) Cell {
	r := rand.New(rand.NewPCG(seed, seed))
	faults, steps := Faults(timing), Steps()
	cell := Cell{Seed: seed}
	for range 2 {
		strike := Injection{Fault: faults[r.IntN(len(faults))], Nth: 1 + r.IntN(latestNth)}
		for _, i := range r.Perm(len(steps)) {
			if reached[steps[i]] > 0 {
				strike.Step = steps[i]
				break
			}
		}
		strike.Nth = min(strike.Nth, max(1, reached[strike.Step]/spareReaches))
		cell.Injections = append(cell.Injections, strike)
	}
	return cell
}

// reachedSteps counts the steps that the history of a seed takes without faults while
// they could strike.
func reachedSteps(clock clockwork.Clock, seed uint64) (map[fake.Step]int, error) {
	h := NewHarness(clock, seed)
	run := &cellRun{harness: h, cell: Cell{Seed: seed}}
	defer h.Stop()
	if err := run.begin(); err != nil {
		return nil, err
	}
	before := map[fake.Step]int{}
	h.After(armAfter, func() {
		for _, step := range Steps() {
			before[step] = h.StepCount(step)
		}
	})
	h.workload("first")
	// A history that waits for one of these makes it happen once.
	reached := map[fake.Step]int{fake.StepRecovery: 1, fake.StepDrain: 1}
	for _, step := range Steps() {
		reached[step] += h.StepCount(step) - before[step]
	}
	return reached, nil
}

// RunReachedPair draws a seed's pair and plays it, all on the clock, which should be
// virtual.
func RunReachedPair(clock clockwork.Clock, timing Timing, seed uint64) (Cell, *Record, Coverage) {
	cell, err := ReachedPair(clock, timing, seed)
	if err != nil {
		return Cell{Seed: seed}, &Record{Stuck: []string{err.Error()}}, Coverage{}
	}
	record, reach := RunCell(clock, cell)
	return cell, record, reach
}
