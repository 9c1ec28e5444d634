package catalog

import "time"

// Kind determines whether a request may be retried.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered with a stream of events. They run at most once unless the
	// route allows a stream to resume after its last delivered event.
	Streaming
)

// Route defines how requests below a path prefix are served.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may take, set by the operator.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a stream.
	Objective time.Duration
	// MaxGap is the target for the longest pause between two events of a stream.
	MaxGap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	Split    []WeightedService
	// MaxAttempts bounds the number of upstreams on which one request may run.
	MaxAttempts int
	// Anonymous routes require no key.
	Anonymous bool
	// Resumable streams may continue at another upstream after the last delivered event.
	Resumable bool
	// Regions are those in which the route's requests may be served.
	Regions Regions
}

// Retryable reports whether a request that may have run may be run again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service with its relative share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from all nodes
	// together.
	MaxConnections int
	// Engine describes the model engines; nil for plain services.
	Engine *Engine
	// Warmup limits the requests to upstreams that are cold.
	Warmup Warmup
}

// Warmup limits the requests to an upstream that is cold. The zero value limits nothing.
type Warmup struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// RequestsPerSecond is how many requests a cold upstream takes from all nodes together.
	RequestsPerSecond float64
}

// Limited reports whether cold upstreams take fewer requests than others.
func (w Warmup) Limited() bool { return w.RequestsPerSecond > 0 }

// Engine holds the properties shared by all model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCapacity is the size of an engine's KV cache in tokens.
	KVCapacity int
	// TokensPerEvent is the maximum number of tokens in one stream event.
	TokensPerEvent int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority.
	Priority    int
	HasPriority bool
	// Prepaid is the total number of tokens that the account may use. If HasPrepaid is unset,
	// usage is not limited.
	Prepaid    int64
	HasPrepaid bool
	// Regions are those in which the account's requests may be served.
	Regions Regions
}

// Limits bound the size of requests and the time taken to send them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
