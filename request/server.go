package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Reserver reserves a request's worst case in tokens; budget.Reserver implements it.
type Reserver interface {
	Reserve(ctx context.Context, budget string, tokens uint64) (budget.Grant, error)
}

// Server runs the requests of one node. It is safe for concurrent use.
type Server struct {
	Config   func() *config.View
	Reserver Reserver
	Picker   routing.Picker
	Client   upstream.Client
	Events   *event.Recorder
	Clock    clockwork.Clock
	Region   string
	// ExcludeLeaving filters out upstreams that are leaving, by the platform's list or by their
	// own word; may be nil.
	ExcludeLeaving func([]*operatorv1.Upstream) []*operatorv1.Upstream
	// CheckPauses returns the error of a request whose candidates all want no requests now; may
	// be nil.
	CheckPauses func(service string, candidates []*operatorv1.Upstream) error
	// AwaitReachable waits until one of the upstreams at these addresses, none of which could be reached,
	// can be reached again; it returns false if that isn't to be expected. It may be nil.
	AwaitReachable func(ctx context.Context, addresses []string) bool
	// Quarantine tells which requests crash upstreams; nil counts nothing.
	Quarantine *quarantine.Guard
	// QueueDelay returns how long a request waits at this node in queues that it doesn't see; nil if that isn't measured.
	QueueDelay func() time.Duration
	// PeerAddress is the address at which other nodes reach this one.
	PeerAddress string

	// Admission may be nil: every request then runs at once.
	Admission Admission
	// Retries may be nil: retries are then bounded only per request.
	Retries RetryBudget
	// Resumer may be nil: streams are then not resumed.
	Resumer upstream.Resumer
	// Cursors signs event ids; nil issues none.
	Cursors *signed.Signer
	// Tickets signs tickets; nil issues none.
	Tickets *signed.Signer
	// Runner runs calls at most once; if nil, idempotency keys and tickets are refused.
	Runner *idempotency.Runner
	// Peers reaches other nodes; may be nil.
	Peers Peers

	inFlight     atomic.Int64
	lives        lives
	refusals     atomic.Uint64
	contradicted contradictedLimits
	// drainState is nil unless the node drains.
	drainState atomic.Pointer[drainState]
	// durations tracks how long the requests of each kind take.
	durations drain.Durations
	// open holds the *openRequest of each request; ended is set when the node ends.
	open  sync.Map
	ended atomic.Bool
	// streams holds the running completions by request id.
	streams sync.Map
}

// InFlight returns the number of running requests, including at-most-once calls whose caller
// has left.
func (s *Server) InFlight() int64 {
	if s.Runner == nil {
		return s.inFlight.Load()
	}
	return s.inFlight.Load() + s.Runner.Active()
}

// authenticate returns the client account of a caller's key.
func (s *Server) authenticate(view *config.View, key string) (*operatorv1.Account, error) {
	account := view.AccountByKey(key)
	if key == "" || account == nil {
		return nil, result.New(result.UnknownKey, "the key belongs to no client account")
	}
	return account, nil
}

// reserve finds the budget of an account for a service and reserves tokens from it.
func (s *Server) reserve(ctx context.Context, view *config.View, account, service string, tokens uint64) (budget.Grant, error) {
	name := view.BudgetName(account, service)
	if name == "" {
		return nil, result.New(result.NoBudget, "account %s has no budget for service %s", account, service)
	}
	grant, err := s.Reserver.Reserve(ctx, name, tokens)
	if err != nil {
		return nil, err
	}
	s.Events.Record(event.RequestAdmitted, "request", grant.Request(), "account", account, "budget", name, "tokens", tokens)
	return grant, nil
}
