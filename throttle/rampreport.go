package throttle

import "time"

// RampOutcome tells why a ramp ended.
type RampOutcome string

// The ends of a ramp.
const (
	// RampComplete: all slots may be used, and this node didn't use all that it might.
	RampComplete RampOutcome = "complete"
	// RampTimeOver: it still limited requests when its time was over.
	RampTimeOver RampOutcome = "time_over"
	// RampUnreachable: the upstream couldn't be reached any more.
	RampUnreachable RampOutcome = "unreachable"
	// RampReplaced: another one began.
	RampReplaced RampOutcome = "replaced"
)

// RampReport tells of a ramp that began, ended or both.
type RampReport struct {
	// Began reports that one began, with a share of this node, Recovered that the upstream had been unreachable before
	// rather than having started.
	Began, Recovered bool
	Share            float64
	// Outcome is how a ramp ended; empty if none did. Lasted is how long it took, Level how many requests of all nodes it
	// allowed in the end, Answers and Refusals are what this node got meanwhile.
	Outcome           RampOutcome
	Lasted            time.Duration
	Level             float64
	Answers, Refusals int
}
