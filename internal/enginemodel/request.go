package enginemodel

import "time"

// Request is one completion asked of an engine. The functions are called in model
// time; each may be nil.
type Request struct {
	ID string
	// Prefix holds a chained hash for each whole block of the prompt.
	Prefix       []uint64
	PromptTokens int
	// AnswerTokens is how many tokens the answer turns out to have.
	AnswerTokens int
	// MaxAnswerTokens is what memory is reserved for.
	MaxAnswerTokens int
	// Priority orders waiting requests: higher goes first.
	Priority int

	// OnToken is told of every answer token, from 1 on.
	OnToken func(at time.Time, n int)
	// OnEnd is told once how the request ended; nil for a whole answer.
	OnEnd func(at time.Time, err error)
}

// sequence is a request within an engine.
type sequence struct {
	*Request
	arrival uint64
	// held are the leading blocks that the sequence shares with the cache.
	held int
	// private counts the blocks that only this sequence uses.
	private     int
	prefillLeft int
	decoded     int
	cached      int
	over        bool
}

func (s *sequence) end(at time.Time, err error) {
	if s.over {
		return
	}
	s.over = true
	if s.OnEnd != nil {
		s.OnEnd(at, err)
	}
}
