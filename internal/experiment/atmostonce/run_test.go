package atmostonce

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// With LAVENDERPIN_MEASURE set, prints the tables of the full experiment. Otherwise, a small
// run checks the strategies that identify calls.
func TestNamedCallsRunAtMostOnce(t *testing.T) {
	// Nodes crash periodically while callers send calls with a key or a ticket. The outcome
	// of a call may be unknown, but none runs twice and none that ran is reported as not run.
	is := is.New(t)
	options := DefaultOptions()
	if os.Getenv("LAVENDERPIN_MEASURE") != "" {
		is.NoErr(WriteMarkdown(os.Stdout, Run(options)))
		options.LogDelay = 60 * time.Millisecond // a log in the other region
		is.NoErr(WriteMarkdown(os.Stdout, []Row{runOne(options, ScenarioNoFault, StrategyKey), runOne(options, ScenarioNoFault, StrategyTicket)}))
		return
	}
	options.Callers, options.Calls = 12, 8
	for _, strategy := range []Strategy{StrategyKey, StrategyTicket} {
		row := runOne(options, ScenarioNodeCrashes, strategy)
		is.Equal(row.DoubleRuns, 0)
		is.Equal(row.FalseNotRun, 0)
		is.Equal(row.Answered+row.NotRun+row.Unknown, row.Calls)
	}
}
