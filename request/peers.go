package request

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Peers asks other nodes on behalf of requests.
type Peers interface {
	// Forward passes a call on to the incarnation that alone may run it. address is
	// empty when the fold knows it.
	Forward(ctx context.Context, incarnation, address string, call *fleetv1.CallForward) (upstream.CallResponse, error)
	// MoveStream tells the node at a peer address that the caller of a completion
	// reads on here.
	MoveStream(ctx context.Context, address, request string)
}
