package fake

import (
	"context"
	"sync/atomic"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/ports"
)

// Instances is the instance list as one node reaches it over the network.
type Instances struct {
	inner     *standin.Instances
	network   *Network
	node      Endpoint
	listCalls atomic.Uint64
}

var _ ports.InstanceList = (*Instances)(nil)

// NewInstances returns the view of inner that the given node gets.
func NewInstances(inner *standin.Instances, network *Network, node Endpoint) *Instances {
	return &Instances{inner: inner, network: network, node: node}
}

// ListCalls returns how often the node called List.
func (i *Instances) ListCalls() uint64 { return i.listCalls.Load() }

// List implements ports.Instances.
func (i *Instances) List(ctx context.Context) ([]*platformv1.Instance, error) {
	i.listCalls.Add(1)
	if !i.network.Reachable(i.node, LogEndpoint) || !i.network.Reachable(LogEndpoint, i.node) {
		return nil, errNoResponse
	}
	return i.inner.List(ctx)
}
