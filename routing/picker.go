package routing

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Request describes the request that an upstream is wanted for.
type Request struct {
	Service string
	Model   string
	// Version and Adapter, when set, restrict the choice to engines that report them.
	Version string
	Adapter string
	// Region of the node that asks.
	Region string
	// Account and Team share capacity fairly in admission.
	Account string
	Team    string
	// Weight is the account's relative share; 0 means 1.
	Weight uint32
	// Priority orders an account's requests: higher goes first.
	Priority int
	// PromptTokens and AnswerTokens are estimates; 0 is taken as unknown.
	PromptTokens int
	AnswerTokens int
	// Prefix holds the chained hash of each whole block of the prompt.
	Prefix []uint64
	// Deadline for the first token; zero for none.
	Deadline time.Time
	// Tried holds the names of upstreams that failed this request already.
	Tried map[string]bool
}

// PickResult is an upstream chosen. Done must be called exactly once when the request
// leaves it.
type PickResult struct {
	Upstream *operatorv1.Upstream
	Done     func(err error)

	ticket     *ticket
	generation uint64
}

// FirstToken tells that the upstream has begun to answer. Callers that never say so
// are judged by Done alone.
func (p PickResult) FirstToken() {
	if p.ticket != nil {
		p.ticket.firstToken(p.generation)
	}
}

// Picker chooses an upstream among candidates; it fails with NoUpstream. The
// candidates of a service must be the same slice until its configuration changes.
type Picker interface {
	Pick(ask Request, candidates []*operatorv1.Upstream) (PickResult, error)
}
