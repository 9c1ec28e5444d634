package atmostonce

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/idempotency"
)

func (n *node) runWithTicket(ticket *fleetv1.CallTicket, name string) (idempotency.Response, error) {
	digest := idempotency.Digest{1}
	return n.runner.DoTicket(context.Background(), ticket, digest, n.runFunc(name), func(ctx context.Context, owner string) (idempotency.Response, error) {
		peer := n.fleet.node(owner)
		answer, err := peer.serve(func() (idempotency.Response, error) {
			return peer.runner.DoTicket(ctx, ticket, digest, peer.runFunc(name), nil)
		})
		return n.fleet.forwardedResult(owner, answer, err)
	})
}
