package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

const (
	linkLatency        = 30 * time.Millisecond
	linkBytesPerSecond = 30e6 / 8
	// Message sizes in bytes.
	bytesPerPromptToken = 4
	requestOverhead     = 500
	bytesPerChunk       = 220
)

// link simulates the link between the two regions. Messages in the same direction are
// serialized.
type link struct {
	sim    *enginemodel.Simulator
	cut    bool
	bytes  float64
	freeAt map[string]time.Time
}

func newLink(sim *enginemodel.Simulator) *link {
	return &link{sim: sim, freeAt: map[string]time.Time{}}
}

// delay enqueues a message and returns the time until it is delivered.
func (l *link) delay(from string, bytes float64) time.Duration {
	l.bytes += bytes
	start := l.sim.Now()
	if freeAt := l.freeAt[from]; freeAt.After(start) {
		start = freeAt
	}
	end := start.Add(time.Duration(bytes / linkBytesPerSecond * float64(time.Second)))
	l.freeAt[from] = end
	return end.Sub(l.sim.Now()) + linkLatency
}
