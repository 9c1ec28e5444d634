package atmostonce

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// With LAVENDERPIN_MEASURE=1 it prints the whole table; else a small run checks that
// named calls ran at most once and that the blind way shows what goes wrong.
func TestNamedCallsRunAtMostOnce(t *testing.T) {
	// Nodes are killed all the time while crews file orders. A named order may end
	// unknown, but none runs twice and none that ran is called "not run".
	is := is.New(t)
	options := DefaultOptions()
	if os.Getenv("LAVENDERPIN_MEASURE") != "" {
		is.NoErr(WriteMarkdown(os.Stdout, Run(options)))
		options.LogDelay = 60 * time.Millisecond // the log stands in the other region
		is.NoErr(WriteMarkdown(os.Stdout, []Row{one(options, ScenarioNoFault, StrategyKey), one(options, ScenarioNoFault, StrategyTicket)}))
		return
	}
	options.Callers, options.Calls = 12, 8
	for _, way := range []Strategy{StrategyKey, StrategyTicket} {
		row := one(options, ScenarioNodeCrashes, way)
		is.Equal(row.DoubleRuns, 0)
		is.Equal(row.FalseNotRun, 0)
		is.Equal(row.Answered+row.NotRun+row.Unknown, row.Calls)
	}
}
