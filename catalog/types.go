package catalog

import "time"

// Kind says what may be done with a request a second time.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests answer with events. They run at most once unless the route
	// lets a stream resume after its last delivered event.
	Streaming
)

// Route says how the requests below a path prefix are served.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that the operator lets a request wait.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, within which
	// the answer is on time.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	Split    []WeightedService
	// MaxAttempts bounds the upstreams on which one request may run.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another upstream after the last delivered event.
	Resumable bool
}

// Retryable tells whether a request may run again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that answer alike.
type Service struct {
	Name string
	// MaxConnections is what one upstream accepts from all nodes together.
	MaxConnections int
	// Engine tells about model engines; nil for plain services.
	Engine *Engine
}

// Engine is what all model engines of a service have in common.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVCapacity is an engine's memory in tokens.
	KVCapacity int
	// TokensPerEvent is the most tokens that one event of a stream holds.
	TokensPerEvent int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority replaces a route's priority if HasPriority.
	Priority    int
	HasPriority bool
	// Prepaid is the total of tokens that the account may use. Zero with HasPrepaid
	// unset means that its use isn't limited.
	Prepaid    int64
	HasPrepaid bool
}

// Limits bound what a caller may send and how slowly.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
