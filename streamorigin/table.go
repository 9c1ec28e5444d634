package streamorigin

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// MaxLife bounds how long an origin is kept, and so for how long a stream can be taken up.
	MaxLife = 2 * time.Minute
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
	// overflowedAt is when a stream last found no room, or was dropped for want of it; negative if none did.
	overflowedAt time.Duration
	// outlivedUntil is until when streams may be taken up whose entries are dropped before.
	outlivedUntil time.Duration
}

// stream is an entry of a Table.
type stream struct {
	origin  Origin
	expires time.Duration
	// published is until when it is part of the node's record.
	published time.Duration
	withdrawn bool
}

// NewTable returns an empty table.
func NewTable(clock bootclock.Clock) *Table {
	return &Table{clock: clock, streams: make(map[string]stream), overflowedAt: -1}
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
		t.overflowedAt = now
		return
	}
	if life > MaxLife {
		t.outlivedUntil = max(t.outlivedUntil, now+life)
	}
	expires := now + min(life, MaxLife)
	t.streams[attempt] = stream{origin: o, expires: expires, published: expires}
	t.generation++
}

// Finish records that the stream was delivered to its end. If keep is set it can be found for its whole life, but is no
// longer published.
func (t *Table) Finish(attempt string, keep bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.streams[attempt]
	if !known {
		return
	}
	s.published = min(s.published, t.clock.Now()+finishedLife)
	if !keep {
		s.expires = min(s.expires, s.published)
	}
	t.streams[attempt] = s
}

// IsComplete reports whether each stream that may still be taken up found room, and keeps it.
func (t *Table) IsComplete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	return now >= t.outlivedUntil && (t.overflowedAt < 0 || now-t.overflowedAt >= MaxLife)
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

// makeRoom drops the streams whose time has passed, unless that was done lately, and then those that were delivered, and
// reports whether there is room. The caller must hold mu.
func (t *Table) makeRoom(now time.Duration) bool {
	if len(t.streams) < maxStreams {
		return true
	}
	if now-t.expiredAt >= expiryInterval {
		t.expire(now)
		if len(t.streams) >= maxStreams {
			t.dropWithdrawn(now)
		}
	}
	return len(t.streams) < maxStreams
}

// expire drops the streams whose time has passed. The caller must hold mu.
func (t *Table) expire(now time.Duration) {
	t.expiredAt = now
	for attempt, s := range t.streams {
		switch {
		case now >= s.expires:
			delete(t.streams, attempt)
			t.generation++
		case now >= s.published && !s.withdrawn:
			s.withdrawn = true
			t.streams[attempt] = s
			t.generation++
		}
	}
}

// dropWithdrawn drops the streams that are kept only to deny others. The caller must hold mu.
func (t *Table) dropWithdrawn(now time.Duration) {
	for attempt, s := range t.streams {
		if s.withdrawn {
			delete(t.streams, attempt)
			t.overflowedAt = now
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
		if services[s.origin.Service] && !s.withdrawn {
			attempts[s.origin] = append(attempts[s.origin], attempt)
		}
	}
	return attempts, t.generation
}
