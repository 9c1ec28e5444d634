package node

import (
	"context"
	"slices"
)

// Neighbours returns the peer addresses of the other nodes of this region that serve, those of this data centre first.
func (n *Node) Neighbours() []string {
	var near, far []string
	for _, m := range n.members.All() {
		switch {
		case !m.Usable() || m.Node.GetIncarnation() == n.Incarnation() || m.Node.GetRegion() != n.settings.Region:
		case m.Node.GetDataCentre() == n.settings.DataCentre:
			near = append(near, m.Node.GetPeerAddress())
		default:
			far = append(far, m.Node.GetPeerAddress())
		}
	}
	return slices.Concat(near, far)
}

// Exchange sends a short message to the node at an address and returns once it has the answer.
func (n *Node) Exchange(ctx context.Context, address string) error {
	return n.members.Ping(ctx, address)
}
