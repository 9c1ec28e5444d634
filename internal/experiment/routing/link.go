package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

const (
	linkLatency        = 30 * time.Millisecond
	linkBytesPerSecond = 30e6 / 8
	// Sizes of messages, in bytes.
	bytesPerPromptToken = 4
	requestOverhead     = 500
	bytesPerChunk       = 220
)

// link joins the two regions. Messages of one direction go one after another.
type link struct {
	sim   *enginemodel.Simulator
	cut   bool
	bytes float64
	free  map[string]time.Time
}

func newLink(sim *enginemodel.Simulator) *link {
	return &link{sim: sim, free: map[string]time.Time{}}
}

// delay books a message and returns how long it takes to cross.
func (l *link) delay(from string, bytes float64) time.Duration {
	l.bytes += bytes
	begin := l.sim.Now()
	if free := l.free[from]; free.After(begin) {
		begin = free
	}
	end := begin.Add(time.Duration(bytes / linkBytesPerSecond * float64(time.Second)))
	l.free[from] = end
	return end.Sub(l.sim.Now()) + linkLatency
}
