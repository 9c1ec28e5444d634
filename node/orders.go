package node

import "lavenderpin.dev/lavenderpin/orders"

// orders returns what gives engines their orders while this node holds the lease.
func (n *Node) orders() *orders.Executor {
	return &orders.Executor{
		Lessor:  n.leases,
		Client:  orders.HTTPClient{Upstreams: n.deps.Upstreams},
		Weights: n.deps.Weights,
		Config:  n.config.View,
		Clock:   n.deps.Clock,
		Events:  n.events,
	}
}
