package peer

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

// Handler handles one request from another node. It must be safe for concurrent use.
type Handler func(ctx context.Context, request *fleetv1.Request) *fleetv1.Response

// Caller sends requests to other nodes.
type Caller interface {
	// Call sends a request to the node at a peer address. After an error it is unknown
	// whether the other node processed the request.
	Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error)
}
