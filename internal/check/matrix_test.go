package check

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

const (
	singleSeed = 1
	pairSeed   = 1000
	pairCount  = 40
	// reachedSeed is the first seed of the pairs whose steps are drawn from those reached.
	reachedSeed  = 5000
	reachedCount = 25
)

// testTiming cuts a region off for five minutes, twenty times the spend right. The race
// detector's per-goroutine clock overflows in the two virtual hours of "lavenderbench
// matrix".
func testTiming() Timing {
	timing := DefaultTiming()
	timing.RegionCutDuration = 5 * time.Minute
	return timing
}

func runAndEvaluate(t *testing.T, cell Cell) {
	record, coverage := runCell(t, cell)
	evaluate(t, cell, record, coverage)
}

func evaluate(t *testing.T, cell Cell, record *Record, coverage Coverage) {
	is := is.New(t)
	result := Evaluate(cell, record, coverage)
	t.Logf("%s: %s %s", cell, result.Status, result.Missing)
	for _, v := range result.Violations {
		t.Log(v)
	}
	if result.Status == Broken {
		for _, e := range result.Timeline {
			t.Log(e.Timestamp.Time().Format("15:04:05.000"), e.Node, e.Number.Kind().Name, e.Fields)
		}
	}
	is.True(result.Status != Broken) // the timeline logged above shows what happened
}

// hasRegionCut selects the fault that has its own tests: it lasts longest, and the
// violations that it still causes must not hide those of other faults.
func hasRegionCut(cell Cell) bool {
	for _, s := range cell.Injections {
		if s.Fault.Name == "region cut for hours" {
			return true
		}
	}
	return false
}

func runAll(t *testing.T, cells []Cell, wanted func(Cell) bool) {
	for _, cell := range cells {
		if !wanted(cell) {
			continue
		}
		t.Run(cell.String(), func(t *testing.T) {
			t.Parallel()
			runAndEvaluate(t, cell)
		})
	}
}

// hasTwoKills selects pairs of kills, which can take down a node and its only witness within
// one flush.
func hasTwoKills(cell Cell) bool {
	kills := 0
	for _, s := range cell.Injections {
		if strings.HasPrefix(s.Fault.Name, "kill") {
			kills++
		}
	}
	return kills > 1
}

func isOrdinary(cell Cell) bool { return !hasRegionCut(cell) && !hasTwoKills(cell) }

// Every fault of the specification except the region cut is injected once at every step. A
// broken cell means money spent twice, an interrupted response, or a node that needs manual
// repair.
func TestMatrixSingles(t *testing.T) { runAll(t, Singles(testTiming(), singleSeed), isOrdinary) }

// Two faults are injected in one history, at steps drawn from the seed.
func TestMatrixPairs(t *testing.T) { runAll(t, Pairs(testTiming(), pairSeed, pairCount), isOrdinary) }

// A region is cut off for a long time, at every step. Its callers keep sending requests to
// the node there, which reaches no other node and no log; afterwards every answer they got
// must be billed.
func TestMatrixRegionCut(t *testing.T) { runAll(t, Singles(testTiming(), singleSeed), hasRegionCut) }

// A region cut is combined with a second fault.
func TestMatrixPairsWithRegionCut(t *testing.T) {
	runAll(t, Pairs(testTiming(), pairSeed, pairCount), hasRegionCut)
}

// Two nodes die in one history. Even if one was the witness of the other, every answer that
// callers received must be billed.
func TestMatrixTwoDeaths(t *testing.T) {
	runAll(t, Pairs(testTiming(), pairSeed, pairCount), hasTwoKills)
}

// Two faults are injected in one history, at steps that the history of the seed reaches, so
// that nearly every pair is meaningful.
func TestMatrixReachedPairs(t *testing.T) {
	for seed := uint64(reachedSeed); seed < reachedSeed+reachedCount; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			var cell Cell
			var record *Record
			var coverage Coverage
			synctest.Test(t, func(*testing.T) {
				cell, record, coverage = RunReachedPair(fake.NewClock(), testTiming(), seed)
			})
			evaluate(t, cell, record, coverage)
		})
	}
}

// A seed stands for the same pair however often the steps are reached beyond the first few
// times, and never selects a step that is not reached.
func TestReachedPairsAreStable(t *testing.T) {
	is := is.New(t)
	few, many := map[fake.Step]int{}, map[fake.Step]int{}
	for _, step := range Steps() {
		few[step], many[step] = maxNth*reachesPerNth, 1000
	}
	delete(few, fake.StepShareMove)
	for seed := uint64(1); seed < 300; seed++ {
		cell, again := pairAtReachedSteps(testTiming(), seed, few), pairAtReachedSteps(testTiming(), seed, many)
		for i, s := range cell.Injections {
			is.True(s.Step != fake.StepShareMove)
			is.True(s.Nth <= maxNth)
			if again.Injections[i].Step != fake.StepShareMove {
				is.Equal(s.Step, again.Injections[i].Step)
				is.Equal(s.Nth, again.Injections[i].Nth)
			}
		}
	}
}

// Two faults kill the same process and each restarts it. One process runs at the address
// afterwards; two would both claim its shares.
func TestProcessIsReplacedOnce(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := NewHarness(fake.NewClock(), 1)
		is.NoErr(h.Start(testTiming(), RegionHome))
		defer h.Stop()
		m := h.Members[0]
		m.Kill()
		m.Kill()
		h.Go(m.Restart)
		h.Go(m.Restart)
		is.True(h.Await(startTimeout, func() bool { return m.Live() && h.allServing() }))
		h.tasks.Wait()
		is.Equal(m.processes, 2)
	})
}
