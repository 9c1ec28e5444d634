package placement

import (
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	Now        time.Duration
	DataCentre string
	Region     string
	// PromptTokens is the prompt's length; zero for plain services.
	PromptTokens int
	// Prefix holds the prompt's parts in order. The last one is the request's own.
	Prefix []PromptPart
	// Tried are the upstreams that the request was at already.
	Tried []*directory.Upstream
}

// shared returns the parts that other requests may have in common with this one.
func (q *Request) shared() []PromptPart {
	if len(q.Prefix) < 2 {
		return nil
	}
	return q.Prefix[:len(q.Prefix)-1]
}

func (q *Request) tried(u *directory.Upstream) bool {
	for _, t := range q.Tried {
		if t.ID == u.ID {
			return true
		}
	}
	return false
}
