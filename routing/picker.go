package routing

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Request describes a request to be routed.
type Request struct {
	Service string
	Model   string
	// Version and Adapter, when set, restrict the choice to engines that report them.
	Version string
	Adapter string
	// SoftwareVersion, when set, excludes engines that report another version of their software.
	SoftwareVersion string
	// Region of the node that routes the request.
	Region string
	// Account and Team are the units of fair sharing in admission.
	Account string
	Team    string
	// Weight is the account's relative share; 0 means 1.
	Weight uint32
	// Priority orders an account's requests: higher goes first.
	Priority int
	// PromptTokens and AnswerTokens are estimates; 0 means unknown.
	PromptTokens int
	AnswerTokens int
	// Prefix holds the chained hash of each full block of the prompt.
	Prefix []uint64
	// Deadline for the first token; zero for none.
	Deadline time.Time
	// Tried holds the names of upstreams that already failed this request.
	Tried map[string]bool
}

// PickResult is the chosen upstream. Done must be called exactly once, when the request
// has left the upstream.
type PickResult struct {
	Upstream *operatorv1.Upstream
	Done     func(err error)

	attempt    *attempt
	generation uint64
}

// FirstToken records that the upstream has begun to answer. Without this call the request
// is measured by Done alone.
func (r PickResult) FirstToken() {
	if r.attempt != nil {
		r.attempt.firstToken(r.generation)
	}
}

// Picker chooses an upstream among candidates; it fails with NoUpstream. The candidates of
// a service must be passed as the same slice until its configuration changes.
type Picker interface {
	Pick(request Request, candidates []*operatorv1.Upstream) (PickResult, error)
}
