package upstream

import "lavenderpin.dev/lavenderpin/result"

// reorderWindow is how many chunks may wait for an earlier one.
const reorderWindow = 64

// sequence puts the numbered chunks of a stream in order. A duplicate or a chunk out
// of its turn would otherwise show as a repeated or shuffled word in an answer that
// looks whole.
type sequence struct {
	next    uint64
	waiting map[uint64]Chunk
}

// add takes a chunk and appends those whose turn has come to ready. The number of a
// chunk from an engine that sends none is the next one.
func (s *sequence) add(ready []Chunk, chunk Chunk, numbered bool) ([]Chunk, error) {
	if !numbered {
		chunk.Number = s.next
	}
	if chunk.Number < s.next {
		return ready, nil
	}
	if chunk.Number > s.next {
		return ready, s.hold(chunk)
	}
	ready = append(ready, chunk)
	s.next++
	for len(s.waiting) > 0 {
		following, held := s.waiting[s.next]
		if !held {
			break
		}
		delete(s.waiting, s.next)
		ready = append(ready, following)
		s.next++
	}
	return ready, nil
}

func (s *sequence) hold(chunk Chunk) error {
	if s.waiting == nil {
		s.waiting = map[uint64]Chunk{}
	}
	s.waiting[chunk.Number] = chunk
	if len(s.waiting) > reorderWindow {
		return result.New(result.AnswerCut, "chunk %d is missing", s.next)
	}
	return nil
}
