package reach

import "time"

// Settings are the limits of a Dialer.
type Settings struct {
	// DirectTimeout bounds an attempt to connect to an upstream directly. A round trip between
	// regions takes 60 ms.
	DirectTimeout time.Duration
	// RelayDelay is how long a direct attempt may take at least before other nodes are asked as well:
	// twice the longest round trip. It grows with the time that attempts usually take.
	RelayDelay time.Duration
	// RelayTimeout bounds the attempts through other nodes: with it, an attempt that fails both ways takes
	// hardly longer than the direct one. RelayStagger is the time between the starts of two of them, and
	// MaxPeersAsked their number.
	RelayTimeout, RelayStagger time.Duration
	MaxPeersAsked              int
	// OpenTimeout bounds an attempt for another node: two round trips between regions. Its refusal must
	// arrive within that node's RelayTimeout.
	OpenTimeout time.Duration
	// MaxExplorations bounds the attempts through other nodes that run at a time for paths that aren't known
	// to be cut. One takes some 0.2 s, so that a node cut from all finds 40 paths a second.
	MaxExplorations int64
	// SilenceLimit is how long data may be awaited from an upstream without any before its path is
	// tested. A busy upstream may take longer to answer, but the test then shows that it is there.
	SilenceLimit time.Duration
	// TestInterval is the least time between two tests of a path, TestTimeout the limit of one.
	TestInterval, TestTimeout time.Duration
	// TestsPerSecond bounds the tests of all paths, so that a node that is cut off doesn't fill
	// the queues of hundreds of upstreams. A test that finds a change allows TestsPerChange more.
	TestsPerSecond, TestsPerChange float64
	// MinUnreachable and MaxUnreachable bound the time for which connections to an upstream that no
	// node reached fail at once. It doubles with each attempt.
	MinUnreachable, MaxUnreachable time.Duration
	// SilenceTolerance is how long a sound upstream may be silent. Until then requests that no other
	// upstream takes wait for it, and it is tested each EarlyTestInterval.
	SilenceTolerance, EarlyTestInterval time.Duration
	// PeerAvoidance is how long a node that couldn't help is asked only after the others.
	PeerAvoidance time.Duration
	// RestoredAfter is how long most paths must be direct before the node counts as restored, so that
	// its address isn't withdrawn and named again several times a second.
	RestoredAfter time.Duration
	// UnusedAfter is how long the state of an unused path is kept, TestedFor the same for one that isn't
	// direct and that is tested until then.
	UnusedAfter, TestedFor time.Duration
	// MaxRelayed bounds the connections that the node keeps open for others: each takes two
	// descriptors, of the 3,900 that the smallest instance has for sockets.
	MaxRelayed int64
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{
		DirectTimeout:     350 * time.Millisecond,
		RelayDelay:        130 * time.Millisecond,
		RelayTimeout:      250 * time.Millisecond,
		RelayStagger:      100 * time.Millisecond,
		MaxPeersAsked:     5,
		OpenTimeout:       120 * time.Millisecond,
		MaxExplorations:   8,
		SilenceLimit:      800 * time.Millisecond,
		TestInterval:      time.Second,
		TestTimeout:       250 * time.Millisecond,
		SilenceTolerance:  1500 * time.Millisecond,
		EarlyTestInterval: 250 * time.Millisecond,
		TestsPerSecond:    2,
		TestsPerChange:    3,
		MinUnreachable:    500 * time.Millisecond,
		MaxUnreachable:    2 * time.Second,
		PeerAvoidance:     time.Second,
		RestoredAfter:     2 * time.Second,
		TestedFor:         5 * time.Second,
		UnusedAfter:       30 * time.Second,
		MaxRelayed:        1000,
	}
}
