package check

import (
	"testing"
	"testing/synctest"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

// runReachedPair runs a seed's reached pair and evaluates the record.
func runReachedPair(t *testing.T, seed uint64) {
	t.Helper()
	var cell Cell
	var record *Record
	var coverage Coverage
	synctest.Test(t, func(*testing.T) {
		cell, record, coverage = RunReachedPair(fake.NewClock(), testTiming(), seed)
	})
	evaluate(t, cell, record, coverage)
}

// All three nodes of a fleet die within six seconds: two nodes, and then the one that
// settles for them, before its settlements are in the log. Nobody is left who knows what the
// first two answered last, so it is billed to nobody.
func TestThreeDeathsWithinSeconds(t *testing.T) { runReachedPair(t, 5110) }

// Guards against an answer that its caller resumed at another node going unbilled because
// the dead node's witness is cut off.
func TestResumedAnswerWhileWitnessIsCutOff(t *testing.T) {
	cell := Pair(testTiming(), 1007)
	cell.ResumeStreams = true
	runAndEvaluate(t, cell)
}

// A node is paused after checking its spend right and before sending the first byte of a
// call. Its right ends meanwhile, the node resumes, and the call reaches its service late.
// In this history the spending still stays within what was prepaid.
func TestPauseDuringSend(t *testing.T) { runReachedPair(t, 5060) }
