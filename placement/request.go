package placement

import (
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request describes the request to be placed.
type Request struct {
	Now        time.Duration
	DataCentre string
	Region     string
	// PromptTokens is the length of the prompt; zero for plain services.
	PromptTokens int
	// Tokens is the most tokens, output included, that the request may hold in an engine's memory; zero if it declares none.
	// KVCapacity is how many each engine of the service can hold; zero if that isn't known.
	Tokens, KVCapacity int64
	// Prefix holds the prompt's parts in order. The last one belongs to this request alone.
	Prefix []PromptPart
	// Tried are the upstreams that the request was already sent to.
	Tried []*directory.Upstream
	// Limited is set if the request may pass through nodes of some regions only.
	Limited bool
	// BeyondRamps is set if no upstream has room, so that ramps don't limit the request.
	BeyondRamps bool
}

// shared returns the parts that other requests may share.
func (r *Request) shared() []PromptPart {
	if len(r.Prefix) < 2 {
		return nil
	}
	return r.Prefix[:len(r.Prefix)-1]
}

func (r *Request) wasTried(u *directory.Upstream) bool {
	for _, t := range r.Tried {
		if t.ID == u.ID {
			return true
		}
	}
	return false
}

// inBackoff reports whether the request should not use an upstream now since it couldn't be reached.
func (r *Request) inBackoff(u *directory.Upstream) bool {
	return u.InBackoff(r.Now) || r.Limited && u.IsOutsideRegions(r.Now)
}
