package request

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Peers sends requests to other nodes.
type Peers interface {
	// Forward sends a call to the only incarnation that may run it. address is empty if
	// the state replicated from the log has it.
	Forward(ctx context.Context, incarnation, address string, call *fleetv1.CallForward) (upstream.CallResponse, error)
	// MoveStream tells the node at a peer address that the caller of a completion now
	// reads it through this node.
	MoveStream(ctx context.Context, address, request string)
}
