package atmostonce

import "time"

// Strategy is how a caller identifies and retries its call.
type Strategy string

// The compared strategies.
const (
	// StrategySendOnce sends the call once; after a lost connection its outcome is unknown.
	StrategySendOnce Strategy = "no name, sent once"
	// StrategyBlindRetry sends it again after a lost connection, as many clients do.
	StrategyBlindRetry Strategy = "no name, sent again"
	// StrategyKey identifies it by an idempotency key that the caller chose.
	StrategyKey Strategy = "key"
	// StrategyTicket identifies it by a ticket; fetching it is part of the measured latency.
	StrategyTicket Strategy = "ticket"
)

// Scenario is the fault that is present during the calls.
type Scenario string

// The scenarios.
const (
	ScenarioNoFault     Scenario = "quiet"
	ScenarioLogOutage   Scenario = "log out of reach"
	ScenarioNodeCrashes Scenario = "nodes killed"
)

// Options configures one run.
type Options struct {
	Seed  uint64
	Nodes int
	// Callers is the number of concurrent callers; each sends Calls calls sequentially.
	Callers int
	Calls   int
	// LogDelay is the latency of each append to and read from the log.
	LogDelay time.Duration
	// Gather is the group commit delay of the nodes' log writers.
	Gather time.Duration
	// ServiceTime is how long the service takes for a call.
	ServiceTime time.Duration
	// CrashInterval is the time between two crashes; CloseDelay is the time until the other
	// nodes consider a crashed node closed.
	CrashInterval time.Duration
	CloseDelay    time.Duration
}

// DefaultOptions returns options for a run of a few seconds.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Nodes: 6, Callers: 24, Calls: 25, LogDelay: 3 * time.Millisecond, Gather: 20 * time.Millisecond,
		ServiceTime: 10 * time.Millisecond, CrashInterval: 150 * time.Millisecond, CloseDelay: 300 * time.Millisecond,
	}
}
