package node

import "lavenderpin.dev/lavenderpin/orders"

// newOrderExecutor returns the executor that sends orders to engines while this node holds the
// lease.
func (n *Node) newOrderExecutor() *orders.Executor {
	return &orders.Executor{
		LeaseHolder: n.leases,
		Client:      orders.HTTPClient{Upstreams: n.upstreams},
		Weights:     n.deps.Weights,
		Config:      n.config.View,
		Clock:       n.deps.Clock,
		Events:      n.events,
	}
}
