package snapshot

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// maxRows bounds how many writers' unfinished snapshots a collector holds. Beyond
// it the oldest is dropped: its writer most likely died between two chunks.
const maxRows = 4

// Collector gathers chunks into complete snapshots. It isn't safe for concurrent use.
type Collector struct {
	rows []*row
}

// row is a snapshot that isn't complete yet.
type row struct {
	writer string
	offset uint64
	count  uint32
	next   uint32
	data   []byte
}

// Add takes the chunk of a writer and returns the sealed state once the chunk
// completes it. Chunks are taken in order only; a writer that begins anew replaces
// what it left.
func (c *Collector) Add(writer string, chunk *recordv1.SnapshotChunk) (sealed []byte, complete bool) {
	if chunk.GetCount() == 0 || chunk.GetCount() > maxChunks || chunk.GetIndex() >= chunk.GetCount() {
		return nil, false
	}
	r := c.row(writer)
	// A first chunk that comes again, late, must not undo the ones after it.
	if chunk.GetIndex() == 0 && (r == nil || !r.of(chunk)) {
		r = c.begin(writer, chunk)
	}
	if r == nil || !r.of(chunk) || r.next != chunk.GetIndex() {
		return nil, false
	}
	r.data = append(r.data, chunk.GetData()...)
	r.next++
	if r.next < r.count {
		return nil, false
	}
	c.drop(writer)
	return r.data, true
}

func (r *row) of(chunk *recordv1.SnapshotChunk) bool {
	return r.offset == chunk.GetOffset() && r.count == chunk.GetCount()
}

func (c *Collector) begin(writer string, chunk *recordv1.SnapshotChunk) *row {
	c.drop(writer)
	if len(c.rows) == maxRows {
		c.rows = c.rows[1:]
	}
	begun := &row{writer: writer, offset: chunk.GetOffset(), count: chunk.GetCount()}
	c.rows = append(c.rows, begun)
	return begun
}

func (c *Collector) row(writer string) *row {
	for _, r := range c.rows {
		if r.writer == writer {
			return r
		}
	}
	return nil
}

func (c *Collector) drop(writer string) {
	for i, r := range c.rows {
		if r.writer == writer {
			c.rows = append(c.rows[:i:i], c.rows[i+1:]...)
			return
		}
	}
}
