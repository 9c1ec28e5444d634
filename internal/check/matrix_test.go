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
	// reachedSeed begins the pairs whose steps are drawn among those reached.
	reachedSeed  = 5000
	reachedCount = 25
)

// testTiming cuts a region off for five minutes, twenty times the right to spend. The
// race detector's clock of a goroutine overflows in the two virtual hours that
// "lavenderbench matrix" plays.
func testTiming() Timing {
	timing := DefaultTiming()
	timing.RegionCutDuration = 5 * time.Minute
	return timing
}

func judgeCell(t *testing.T, cell Cell) {
	record, reach := play(t, cell)
	judgePlayed(t, cell, record, reach)
}

func judgePlayed(t *testing.T, cell Cell, record *Record, reach Coverage) {
	is := is.New(t)
	result := Evaluate(cell, record, reach)
	t.Logf("%s: %s %s", cell, result.Status, result.Missing)
	for _, v := range result.Violations {
		t.Log(v)
	}
	if result.Status == Broken {
		for _, e := range result.Timeline {
			t.Log(e.Timestamp.Time().Format("15:04:05.000"), e.Node, e.Number.Kind().Name, e.Fields)
		}
	}
	is.True(result.Status != Broken) // the time line above tells what happened
}

// cutsRegion tells the fault that has tests of its own: it lasts longest, and what it
// still breaks must not hide what others break.
func cutsRegion(cell Cell) bool {
	for _, s := range cell.Injections {
		if s.Fault.Name == "region cut for hours" {
			return true
		}
	}
	return false
}

func playAll(t *testing.T, cells []Cell, wanted func(Cell) bool) {
	for _, cell := range cells {
		if !wanted(cell) {
			continue
		}
		t.Run(cell.String(), func(t *testing.T) {
			t.Parallel()
			judgeCell(t, cell)
		})
	}
}

// killsTwo tells pairs of deaths, which can take a node and its only witness within
// one flush.
func killsTwo(cell Cell) bool {
	kills := 0
	for _, s := range cell.Injections {
		if strings.HasPrefix(s.Fault.Name, "kill") {
			kills++
		}
	}
	return kills > 1
}

func others(cell Cell) bool { return !cutsRegion(cell) && !killsTwo(cell) }

// Every fault of the brief but the region cut strikes once at every step. A user would
// notice a broken cell as money spent twice, an answer cut, or a node that needs a
// person.
func TestMatrixSingles(t *testing.T) { playAll(t, Singles(testTiming(), singleSeed), others) }

// Two faults strike one history, at steps that the seed chooses.
func TestMatrixPairs(t *testing.T) { playAll(t, Pairs(testTiming(), pairSeed, pairCount), others) }

// A region is cut off for long, at every step. Its callers go on asking the node there,
// which has nobody in reach and no log; afterwards everything that they were answered
// must be billed.
func TestMatrixRegionCut(t *testing.T) { playAll(t, Singles(testTiming(), singleSeed), cutsRegion) }

// The same beside a second fault.
func TestMatrixPairsWithRegionCut(t *testing.T) {
	playAll(t, Pairs(testTiming(), pairSeed, pairCount), cutsRegion)
}

// Two nodes die in one history. When one of them was the other's witness, what the
// caller was answered must be billed all the same.
func TestMatrixTwoDeaths(t *testing.T) {
	playAll(t, Pairs(testTiming(), pairSeed, pairCount), killsTwo)
}

// Two faults strike one history, at steps that the history of the seed reaches, so that
// nearly every pair says something.
func TestMatrixReachedPairs(t *testing.T) {
	for seed := uint64(reachedSeed); seed < reachedSeed+reachedCount; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			var cell Cell
			var record *Record
			var reach Coverage
			synctest.Test(t, func(*testing.T) {
				cell, record, reach = RunReachedPair(fake.NewClock(), testTiming(), seed)
			})
			judgePlayed(t, cell, record, reach)
		})
	}
}

// A seed stands for the same pair however often the steps are reached beyond the first
// few times, and never for a step that isn't reached.
func TestReachedPairsAreStable(t *testing.T) {
	is := is.New(t)
	few, many := map[fake.Step]int{}, map[fake.Step]int{}
	for _, step := range Steps() {
		few[step], many[step] = latestNth*spareReaches, 1000
	}
	delete(few, fake.StepShareMove)
	for seed := uint64(1); seed < 300; seed++ {
		cell, again := pairAmong(testTiming(), seed, few), pairAmong(testTiming(), seed, many)
		for i, s := range cell.Injections {
			is.True(s.Step != fake.StepShareMove)
			is.True(s.Nth <= latestNth)
			if again.Injections[i].Step != fake.StepShareMove {
				is.Equal(s.Step, again.Injections[i].Step)
				is.Equal(s.Nth, again.Injections[i].Nth)
			}
		}
	}
}

// Two faults kill the same process, and each has it replaced. One process runs at the
// address afterwards; two would both claim its shares.
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
		is.True(h.Await(startLimit, func() bool { return m.Live() && h.allServe() }))
		h.work.Wait()
		is.Equal(m.process, 2)
	})
}
