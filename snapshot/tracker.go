package snapshot

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// Tracker tracks the complete snapshots in the applied records. It is safe for concurrent
// use.
type Tracker struct {
	clock clockwork.Clock

	mu           sync.Mutex
	collector    Collector
	records      uint64
	bytes        uint64
	lastComplete time.Time
	offset       uint64
}

// NewTracker returns a tracker that has seen no snapshot yet.
func NewTracker(clock clockwork.Clock) *Tracker {
	return &Tracker{clock: clock, lastComplete: clock.Now()}
}

// HandleFolded must be called with each applied batch and its size, in offset order.
func (t *Tracker) HandleFolded(batch *recordv1.Batch, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records++
	t.bytes += uint64(size)
	for _, entry := range batch.GetEntries() {
		if entry.GetSnapshot() != nil {
			t.addChunk(batch.GetWriter(), entry.GetSnapshot())
		}
	}
}

func (t *Tracker) addChunk(writer string, chunk *recordv1.SnapshotChunk) {
	sealed, complete := t.collector.Add(writer, chunk)
	if !complete || chunk.GetOffset() <= t.offset {
		return
	}
	// A corrupt snapshot must not count, or the next one would be written too late.
	if _, err := Open(sealed); err != nil {
		return
	}
	t.offset = chunk.GetOffset()
	t.lastComplete = t.clock.Now()
	t.records = 0
	t.bytes = 0
}

// HandleRestore must be called after the state was restored from a snapshot at an offset.
func (t *Tracker) HandleRestore(offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offset = max(t.offset, offset)
}

// Offset returns the offset of the last complete snapshot; 0 when none was seen.
func (t *Tracker) Offset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offset
}

// Progress returns the log since the last complete snapshot.
func (t *Tracker) Progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Progress{Records: t.records, Bytes: t.bytes, Age: t.clock.Since(t.lastComplete)}
}
