package orders

import (
	"context"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Order is the complete desired state of an engine: the models that it should hold and its
// role.
type Order struct {
	// Fencing is the epoch of the lease under which the order is given.
	Fencing uint64  `json:"fencing"`
	Models  []Model `json:"models"`
	// Role is the role that the engine should have; empty for engines without roles.
	Role string `json:"role,omitempty"`
}

// Client exchanges reports and orders with engines.
type Client interface {
	// Report asks an engine for its current state.
	Report(ctx context.Context, engine *operatorv1.Upstream) (Report, error)
	// Send gives an order. An engine that checks fencing numbers refuses an outdated one with
	// NotHolder.
	Send(ctx context.Context, engine *operatorv1.Upstream, order Order) error
}
