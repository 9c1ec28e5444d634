package atmostonce

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// With LAVENDERPIN_MEASURE=1 it prints the whole table; else a small run checks that
// named calls ran at most once and that the blind way shows what goes wrong.
func TestWaysOfRunningOnce(t *testing.T) {
	// Nodes are killed all the time while crews file orders. A named order may end
	// unknown, but none runs twice and none that ran is called "not run".
	is := is.New(t)
	options := DefaultOptions()
	if os.Getenv("LAVENDERPIN_MEASURE") != "" {
		is.NoErr(Print(os.Stdout, Run(options)))
		options.LogDelay = 60 * time.Millisecond // the log stands in the other region
		is.NoErr(Print(os.Stdout, []Row{one(options, SceneQuiet, WayKey), one(options, SceneQuiet, WayTicket)}))
		return
	}
	options.Callers, options.Calls = 12, 8
	for _, way := range []Way{WayKey, WayTicket} {
		row := one(options, SceneKills, way)
		is.Equal(row.DoubleRuns, 0)
		is.Equal(row.FalseNotRun, 0)
		is.Equal(row.Answered+row.NotRun+row.Unknown, row.Calls)
	}
}
