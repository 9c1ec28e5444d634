package orders

import (
	"context"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Order is what an engine is told: everything that it should hold, and as what it should serve.
type Order struct {
	// Fencing is the epoch of the lease under which the order is given.
	Fencing uint64  `json:"fencing"`
	Models  []Model `json:"models"`
	// Role is the role that the engine should have; empty for engines without roles.
	Role string `json:"role,omitempty"`
}

// Client speaks to engines about what they hold.
type Client interface {
	// Report asks an engine what it holds.
	Report(ctx context.Context, engine *operatorv1.Upstream) (Report, error)
	// Send gives an order. An engine that checks fencing numbers refuses one whose
	// number is old with NotHolder.
	Send(ctx context.Context, engine *operatorv1.Upstream, order Order) error
}
