package snapshot

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// maxPartial bounds how many writers' incomplete snapshots a collector holds. Beyond it
// the oldest is dropped: its writer most likely died between two chunks.
const maxPartial = 4

// Collector assembles chunks into complete snapshots. It isn't safe for concurrent use.
type Collector struct {
	partial []*partialSnapshot
}

// partialSnapshot is a snapshot that isn't complete yet.
type partialSnapshot struct {
	writer string
	offset uint64
	count  uint32
	next   uint32
	data   []byte
}

// Add adds a writer's chunk and returns the sealed state when the chunk completes it.
// Chunks are accepted only in order; a writer that starts a new snapshot replaces its
// incomplete one.
func (c *Collector) Add(writer string, chunk *recordv1.SnapshotChunk) (sealed []byte, complete bool) {
	if chunk.GetCount() == 0 || chunk.GetCount() > maxChunks || chunk.GetIndex() >= chunk.GetCount() {
		return nil, false
	}
	partial := c.find(writer)
	// A late duplicate of the first chunk must not discard the chunks after it.
	if chunk.GetIndex() == 0 && (partial == nil || !partial.matches(chunk)) {
		partial = c.start(writer, chunk)
	}
	if partial == nil || !partial.matches(chunk) || partial.next != chunk.GetIndex() {
		return nil, false
	}
	partial.data = append(partial.data, chunk.GetData()...)
	partial.next++
	if partial.next < partial.count {
		return nil, false
	}
	c.remove(writer)
	return partial.data, true
}

func (p *partialSnapshot) matches(chunk *recordv1.SnapshotChunk) bool {
	return p.offset == chunk.GetOffset() && p.count == chunk.GetCount()
}

func (c *Collector) start(writer string, chunk *recordv1.SnapshotChunk) *partialSnapshot {
	c.remove(writer)
	if len(c.partial) == maxPartial {
		c.partial = c.partial[1:]
	}
	started := &partialSnapshot{writer: writer, offset: chunk.GetOffset(), count: chunk.GetCount()}
	c.partial = append(c.partial, started)
	return started
}

func (c *Collector) find(writer string) *partialSnapshot {
	for _, p := range c.partial {
		if p.writer == writer {
			return p
		}
	}
	return nil
}

func (c *Collector) remove(writer string) {
	for i, p := range c.partial {
		if p.writer == writer {
			c.partial = append(c.partial[:i:i], c.partial[i+1:]...)
			return
		}
	}
}
