package atmostonce

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/idempotency"
)

func (n *node) byTicket(ticket *fleetv1.CallTicket, name string) (idempotency.Response, error) {
	digest := idempotency.Digest{1}
	return n.runner.DoTicket(context.Background(), ticket, digest, n.run(name), func(ctx context.Context, owner string) (idempotency.Response, error) {
		peer := n.world.node(owner)
		answer, err := peer.attend(func() (idempotency.Response, error) {
			return peer.runner.DoTicket(ctx, ticket, digest, peer.run(name), nil)
		})
		return n.world.forwarded(owner, answer, err)
	})
}
