package peer

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

// Handler answers one request of another node. It must be safe for concurrent use.
type Handler func(ctx context.Context, request *fleetv1.Request) *fleetv1.Response

// Caller asks other nodes.
type Caller interface {
	// Call sends a request to the node at a peer address. An error means that
	// nothing is known of what the other node did.
	Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error)
}
