package atmostonce

import "time"

// Strategy is how a caller has its call run.
type Strategy string

// The ways compared.
const (
	// StrategySendOnce sends the call once; a lost connection leaves it unknown.
	StrategySendOnce Strategy = "no name, sent once"
	// StrategyBlindRetry sends it again after a lost connection, as many programs do.
	StrategyBlindRetry Strategy = "no name, sent again"
	// StrategyKey names it by a key of the caller's.
	StrategyKey Strategy = "key"
	// StrategyTicket names it by a ticket, fetched within the measured time.
	StrategyTicket Strategy = "ticket"
)

// Scenario is what happens around the calls.
type Scenario string

// The scenes.
const (
	ScenarioNoFault     Scenario = "quiet"
	ScenarioLogOutage   Scenario = "log out of reach"
	ScenarioNodeCrashes Scenario = "nodes killed"
)

// Options of one run.
type Options struct {
	Seed  uint64
	Nodes int
	// Callers send Calls each, one after the other.
	Callers int
	Calls   int
	// LogDelay is how long the log takes for each append and read.
	LogDelay time.Duration
	// Gather is the nodes' group commit.
	Gather time.Duration
	// ServiceTime is how long a call runs.
	ServiceTime time.Duration
	// CrashInterval is the time between two kills; CloseAfter is how long it takes until
	// the others hold a killed node for ended.
	CrashInterval time.Duration
	CloseDelay    time.Duration
}

// DefaultOptions returns a run of a few seconds.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Nodes: 6, Callers: 24, Calls: 25, LogDelay: 3 * time.Millisecond, Gather: 20 * time.Millisecond,
		ServiceTime: 10 * time.Millisecond, CrashInterval: 150 * time.Millisecond, CloseDelay: 300 * time.Millisecond,
	}
}
