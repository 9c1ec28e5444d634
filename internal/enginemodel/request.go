package enginemodel

import "time"

// Request is a completion request to an engine. The callbacks run in simulated time;
// each may be nil.
type Request struct {
	ID string
	// Prefix holds a chained hash for each whole block of the prompt.
	Prefix       []uint64
	PromptTokens int
	// AnswerTokens is the number of tokens that the engine generates.
	AnswerTokens int
	// MaxAnswerTokens is the number of answer tokens that memory is reserved for.
	MaxAnswerTokens int
	// Priority orders waiting requests: higher goes first.
	Priority int

	// OnToken is called for every answer token; n counts from 1.
	OnToken func(at time.Time, n int)
	// OnEnd is called once when the request ends; err is nil for a complete answer.
	OnEnd func(at time.Time, err error)
}

// sequence is the state of a request within an engine.
type sequence struct {
	*Request
	arrival uint64
	// sharedBlocks counts the leading blocks that the sequence shares through the cache.
	sharedBlocks int
	// privateBlocks counts the blocks used by this sequence only.
	privateBlocks int
	prefillLeft   int
	decoded       int
	cachedTokens  int
	ended         bool
}

func (s *sequence) end(at time.Time, err error) {
	if s.ended {
		return
	}
	s.ended = true
	if s.OnEnd != nil {
		s.OnEnd(at, err)
	}
}
