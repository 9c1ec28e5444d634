package placement

import (
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Query is what a choice depends on.
type Query struct {
	Now        time.Duration
	DataCentre string
	Region     string
	// PromptTokens is the prompt's length; zero for plain services.
	PromptTokens int
	// Prefix holds the prompt's parts in order. The last one is the request's own.
	Prefix []Part
	// Tried are the upstreams that the request was at already.
	Tried []*directory.Upstream
}

// shared returns the parts that other requests may have in common with this one.
func (q *Query) shared() []Part {
	if len(q.Prefix) < 2 {
		return nil
	}
	return q.Prefix[:len(q.Prefix)-1]
}

func (q *Query) tried(u *directory.Upstream) bool {
	for _, t := range q.Tried {
		if t.ID == u.ID {
			return true
		}
	}
	return false
}
