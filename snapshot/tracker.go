package snapshot

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// Tracker watches the folded records for complete snapshots. It is safe for
// concurrent use.
type Tracker struct {
	clock clockwork.Clock

	mu        sync.Mutex
	collector Collector
	records   uint64
	bytes     uint64
	last      time.Time
	offset    uint64
}

// NewTracker returns a tracker that has seen no snapshot yet.
func NewTracker(clock clockwork.Clock) *Tracker {
	return &Tracker{clock: clock, last: clock.Now()}
}

// HandleFolded is told of each folded record, in offset order.
func (t *Tracker) HandleFolded(batch *recordv1.Batch, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records++
	t.bytes += uint64(size)
	for _, entry := range batch.GetEntries() {
		if entry.GetSnapshot() != nil {
			t.chunk(batch.GetWriter(), entry.GetSnapshot())
		}
	}
}

func (t *Tracker) chunk(writer string, chunk *recordv1.SnapshotChunk) {
	sealed, complete := t.collector.Add(writer, chunk)
	if !complete || chunk.GetOffset() <= t.offset {
		return
	}
	// A corrupt snapshot must not count, or the next one would come too late.
	if _, err := Open(sealed); err != nil {
		return
	}
	t.offset = chunk.GetOffset()
	t.last = t.clock.Now()
	t.records = 0
	t.bytes = 0
}

// HandleRestore tells the tracker that the state was taken from a snapshot.
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
	return Progress{Records: t.records, Bytes: t.bytes, Age: t.clock.Since(t.last)}
}
