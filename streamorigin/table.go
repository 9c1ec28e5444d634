package streamorigin

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// maxLife bounds how long an origin is kept, and so for how long a stream can be taken up.
	maxLife = 2 * time.Minute
	// finishedLife is how long the origin of a delivered stream is kept: its caller may lack the last events if
	// its connection broke.
	finishedLife = 2 * time.Second
	// maxStreams bounds the origins that one node keeps: those of 15 s at 1,000 streams a second.
	maxStreams = 16384
	// expiryInterval is how often a full table looks for streams whose time has passed.
	expiryInterval = time.Second
)

// Table holds the origins of the streams whose first event this node forwarded. It is safe for concurrent use.
type Table struct {
	clock bootclock.Clock

	mu      sync.Mutex
	streams map[string]stream
	// generation counts the changes of streams.
	generation uint64
	expiredAt  time.Duration
}

// stream is an entry of a Table.
type stream struct {
	origin  Origin
	expires time.Duration
}

// NewTable returns an empty table.
func NewTable(clock bootclock.Clock) *Table {
	return &Table{clock: clock, streams: make(map[string]stream)}
}

// Record records where the stream that an attempt began has its origin. life is how long its caller may take it
// up. When the table is full the stream isn't kept; it can then not be taken up elsewhere.
func (t *Table) Record(attempt string, o Origin, life time.Duration) {
	if attempt == "" {
		return // nobody can name it
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.streams[attempt]; !known && !t.makeRoom(now) {
		return
	}
	t.streams[attempt] = stream{o, now + min(life, maxLife)}
	t.generation++
}

// Finish records that the stream was delivered to its end.
func (t *Table) Finish(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.streams[attempt]
	if !known {
		return
	}
	s.expires = min(s.expires, t.clock.Now()+finishedLife)
	t.streams[attempt] = s
}

// Find returns the origin of the stream that an attempt began.
func (t *Table) Find(attempt string) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.streams[attempt]
	return s.origin, known && t.clock.Now() < s.expires
}

// Size returns the number of streams.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}

// makeRoom drops the streams whose time has passed, unless that was done lately, and reports whether there is room.
// The caller must hold mu.
func (t *Table) makeRoom(now time.Duration) bool {
	if len(t.streams) < maxStreams {
		return true
	}
	if now-t.expiredAt >= expiryInterval {
		t.expire(now)
	}
	return len(t.streams) < maxStreams
}

// expire drops the streams whose time has passed. The caller must hold mu.
func (t *Table) expire(now time.Duration) {
	t.expiredAt = now
	for attempt, s := range t.streams {
		if now >= s.expires {
			delete(t.streams, attempt)
			t.generation++
		}
	}
}

// unlisted returns the origins of streams that began at no listed version.
func (t *Table) unlisted() []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	var origins []Origin
	for _, s := range t.streams {
		if !s.origin.IsListed() {
			origins = append(origins, s.origin)
		}
	}
	return origins
}

// byOrigin returns the attempts of each origin in one of the services, and the generation that they are of.
func (t *Table) byOrigin(services map[string]bool) (map[Origin][]string, uint64) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	attempts := make(map[Origin][]string)
	for attempt, s := range t.streams {
		if services[s.origin.Service] {
			attempts[s.origin] = append(attempts[s.origin], attempt)
		}
	}
	return attempts, t.generation
}
