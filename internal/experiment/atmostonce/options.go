package atmostonce

import "time"

// Way is how a caller has its call run.
type Way string

// The ways compared.
const (
	// WayPlain sends the call once; a lost connection leaves it unknown.
	WayPlain Way = "no name, sent once"
	// WayBlind sends it again after a lost connection, as many programs do.
	WayBlind Way = "no name, sent again"
	// WayKey names it by a key of the caller's.
	WayKey Way = "key"
	// WayTicket names it by a ticket, fetched within the measured time.
	WayTicket Way = "ticket"
)

// Scene is what happens around the calls.
type Scene string

// The scenes.
const (
	SceneQuiet  Scene = "quiet"
	SceneOutage Scene = "log out of reach"
	SceneKills  Scene = "nodes killed"
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
	// KillEvery is the time between two kills; CloseAfter is how long it takes until
	// the others hold a killed node for ended.
	KillEvery  time.Duration
	CloseAfter time.Duration
}

// DefaultOptions returns a run of a few seconds.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Nodes: 6, Callers: 24, Calls: 25, LogDelay: 3 * time.Millisecond, Gather: 20 * time.Millisecond,
		ServiceTime: 10 * time.Millisecond, KillEvery: 150 * time.Millisecond, CloseAfter: 300 * time.Millisecond,
	}
}
