package check

import (
	"testing"
	"testing/synctest"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

// judgeReachedPair plays and judges the pair that a seed draws.
func judgeReachedPair(t *testing.T, seed uint64) {
	t.Helper()
	var cell Cell
	var record *Record
	var reach Coverage
	synctest.Test(t, func(*testing.T) {
		cell, record, reach = RunReachedPair(fake.NewClock(), testTiming(), seed)
	})
	judgePlayed(t, cell, record, reach)
}

// All three nodes of a fleet die within six seconds: two of them, and then the one that
// is settling for them, before its settlements are in the log. Nobody is left who knows
// what the first two had answered in their last moments, and it is billed to nobody.
func TestThreeDeathsWithinSeconds(t *testing.T) { judgeReachedPair(t, 5110) }

// Guards against an answer that its caller read on at another node going unbilled, since
// the dead node's witness is cut off.
func TestResumedAnswerWhileWitnessIsCutOff(t *testing.T) {
	cell := Pair(testTiming(), 1007)
	cell.ResumeStreams = true
	judgeCell(t, cell)
}

// A node is stopped after it has looked at its right to spend and before the first byte
// of a call leaves it. Its right ends meanwhile, it goes on, and the call reaches its
// service late. In this history the spend stays within what was prepaid all the same.
func TestPauseDuringSend(t *testing.T) { judgeReachedPair(t, 5060) }
