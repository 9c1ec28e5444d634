package fake

import (
	"context"
	"sync/atomic"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/ports"
)

// Instances is one node's view of the instance list.
type Instances struct {
	inner   *standin.Instances
	network *Network
	node    Endpoint
	asked   atomic.Uint64
}

var _ ports.InstanceList = (*Instances)(nil)

// NewInstances returns a node's view of a list.
func NewInstances(inner *standin.Instances, network *Network, node Endpoint) *Instances {
	return &Instances{inner: inner, network: network, node: node}
}

// ListCalls returns how often the node asked.
func (i *Instances) ListCalls() uint64 { return i.asked.Load() }

// List implements ports.Instances.
func (i *Instances) List(ctx context.Context) ([]*platformv1.Instance, error) {
	i.asked.Add(1)
	if !i.network.Reachable(i.node, LogEndpoint) || !i.network.Reachable(LogEndpoint, i.node) {
		return nil, errLost
	}
	return i.inner.List(ctx)
}
