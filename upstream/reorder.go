package upstream

import (
	"bytes"

	"lavenderpin.dev/lavenderpin/result"
)

// reorderWindow is how many chunks may be held back for a missing earlier one.
const reorderWindow = 64

// reorderBuffer puts the numbered chunks of a stream in order. A duplicate or out-of-order
// chunk would otherwise show up as a repeated or misplaced word in a response that looks
// complete.
type reorderBuffer struct {
	next      uint64
	pending   map[uint64]Chunk
	numbering numbering
	// resumed is set for a response that is to go on with a stream, begun once it has a chunk.
	resumed, begun bool
}

// add takes a chunk and appends the chunks that are next in order to ready. If the engine sends
// no numbers, chunks are numbered in order of arrival.
func (b *reorderBuffer) add(ready []Chunk, chunk Chunk, numbered bool) ([]Chunk, error) {
	if err := b.numbering.check(numbered); err != nil {
		return ready, err
	}
	first := !b.begun
	b.begun = true
	if !numbered {
		chunk.Number = b.next
	}
	chunk.numbering = b.numbering
	switch {
	case first && b.resumed && chunk.Number == 0:
		return ready, result.New(result.AnswerCut, "the stream began anew and chunk %d was due", b.next)
	case chunk.Number < b.next && chunk.isEnd():
		return ready, result.New(result.AnswerCut, "the stream ends with number %d and chunk %d was due", chunk.Number, b.next)
	case chunk.Number < b.next:
		return ready, nil
	case chunk.Number > b.next:
		return ready, b.hold(chunk)
	}
	if err := b.checkSame(chunk); err != nil {
		return ready, err
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
	if err := b.checkSame(chunk); err != nil {
		return err
	}
	if b.pending == nil {
		b.pending = map[uint64]Chunk{}
	}
	b.pending[chunk.Number] = chunk
	if len(b.pending) > reorderWindow {
		return result.New(result.AnswerCut, "chunk %d is missing", b.next)
	}
	return nil
}

// checkSame returns an error if another chunk with the same number is held: nothing tells which of them is the stream's.
func (b *reorderBuffer) checkSame(chunk Chunk) error {
	if held, found := b.pending[chunk.Number]; found && !bytes.Equal(held.Data, chunk.Data) {
		return result.New(result.AnswerCut, "two chunks have number %d", chunk.Number)
	}
	return nil
}
