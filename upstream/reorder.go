package upstream

import "lavenderpin.dev/lavenderpin/result"

// reorderWindow is how many chunks may be held back for a missing earlier one.
const reorderWindow = 64

// reorderBuffer puts the numbered chunks of a stream in order. A duplicate or out-of-order
// chunk would otherwise show up as a repeated or misplaced word in a response that looks
// complete.
type reorderBuffer struct {
	next    uint64
	pending map[uint64]Chunk
}

// add takes a chunk and appends the chunks that are next in order to ready. If the engine sends
// no numbers, chunks are numbered in order of arrival.
func (b *reorderBuffer) add(ready []Chunk, chunk Chunk, numbered bool) ([]Chunk, error) {
	if !numbered {
		chunk.Number = b.next
	}
	if chunk.Number < b.next {
		return ready, nil
	}
	if chunk.Number > b.next {
		return ready, b.hold(chunk)
	}
	ready = append(ready, chunk)
	b.next++
	for len(b.pending) > 0 {
		nextChunk, found := b.pending[b.next]
		if !found {
			break
		}
		delete(b.pending, b.next)
		ready = append(ready, nextChunk)
		b.next++
	}
	return ready, nil
}

func (b *reorderBuffer) hold(chunk Chunk) error {
	if b.pending == nil {
		b.pending = map[uint64]Chunk{}
	}
	b.pending[chunk.Number] = chunk
	if len(b.pending) > reorderWindow {
		return result.New(result.AnswerCut, "chunk %d is missing", b.next)
	}
	return nil
}
