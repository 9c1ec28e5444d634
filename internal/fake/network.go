package fake

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/peer"
)

const (
	sameRegionLatency  = 1500 * time.Microsecond
	crossRegionLatency = 30 * time.Millisecond
	// defaultCallTimeout bounds a call without a deadline that gets no response.
	defaultCallTimeout = 10 * time.Second
)

// Endpoint names an end of a link: a peer address, an upstream or the log.
type Endpoint string

// LogEndpoint is the endpoint of the platform's log.
const LogEndpoint Endpoint = "log"

type link struct{ from, to Endpoint }

type host struct {
	region  string
	gate    *Gate
	handler peer.Handler
}

// Network simulates the links between nodes, upstreams and the log. Each direction of each
// link can be cut separately. It is safe for concurrent use.
type Network struct {
	clock clockwork.Clock

	mu                  sync.Mutex
	hosts               map[Endpoint]host
	cut                 map[link]bool
	bytesBetweenRegions uint64
	parts               []Part
}

// Part maps a request to the id under which a peer reserved a part of it.
type Part struct{ Request, Part string }

// NewNetwork returns a network with all links up.
func NewNetwork(clock clockwork.Clock) *Network {
	return &Network{clock: clock, hosts: map[Endpoint]host{}, cut: map[link]bool{}}
}

// PlaceInRegion sets the region of an endpoint that isn't a node.
func (n *Network) PlaceInRegion(endpoint Endpoint, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[endpoint] = host{region: region}
}

// AttachNode connects a node at its peer address and replaces any earlier one there.
func (n *Network) AttachNode(endpoint Endpoint, region string, gate *Gate, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[endpoint] = host{region: region, gate: gate, handler: handler}
}

// Cut drops all traffic in one direction of a link.
func (n *Network) Cut(from, to Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = true
}

// Isolate drops traffic between an endpoint and all others: to the endpoint if inbound is
// set, and from it if outbound is set.
func (n *Network) Isolate(endpoint Endpoint, inbound, outbound bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.hosts {
		if inbound {
			n.cut[link{other, endpoint}] = true
		}
		if outbound {
			n.cut[link{endpoint, other}] = true
		}
	}
}

// CutRegion drops all traffic between a region and the others.
func (n *Network) CutRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, here := range n.hosts {
		for b, there := range n.hosts {
			if (here.region == region) != (there.region == region) {
				n.cut[link{a, b}] = true
			}
		}
	}
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Reachable reports whether a message sent now arrives.
func (n *Network) Reachable(from, to Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[link{from, to}]
}

// BytesBetweenRegions returns the size of the messages that nodes sent across regions.
func (n *Network) BytesBetweenRegions() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytesBetweenRegions
}

func (n *Network) latency(from, to Endpoint, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts[from].region == n.hosts[to].region {
		return sameRegionLatency
	}
	n.bytesBetweenRegions += uint64(size)
	return crossRegionLatency
}

func (n *Network) hostAt(address Endpoint) host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// Caller returns the peer client of the node at from.
func (n *Network) Caller(from Endpoint, gate *Gate, onStep StepHook) peer.Caller {
	return &networkCaller{network: n, from: from, gate: gate, onStep: onStep}
}

type networkCaller struct {
	network *Network
	from    Endpoint
	gate    *Gate
	onStep  StepHook
}

var errNoResponse = errors.New("no response received")

// Call implements peer.Caller.
func (c *networkCaller) Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.network.clock, defaultCallTimeout)
	defer cancel()
	c.reportStep(request)
	if err := c.gate.Enter(ctx); err != nil {
		return nil, err
	}
	to := Endpoint(address)
	responses := make(chan *fleetv1.Response, 1)
	if c.network.Reachable(c.from, to) {
		go c.deliver(ctx, to, proto.Clone(request).(*fleetv1.Request), responses)
	}
	select {
	case response := <-responses:
		return response, c.gate.Enter(ctx)
	case <-ctx.Done():
		_ = c.gate.Enter(ctx)
		return nil, errors.Trace(errNoResponse)
	}
}

func (c *networkCaller) reportStep(request *fleetv1.Request) {
	switch request.GetBody().(type) {
	case *fleetv1.Request_Reserve:
		c.onStep(StepPeerReserve, string(c.from))
	case *fleetv1.Request_Witness:
		c.onStep(StepWitness, string(c.from))
	}
}

// Parts returns the parts of requests that peers reserved, whether or not the
// response arrived.
func (n *Network) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Part(nil), n.parts...)
}

// reservedRequestField is the field of fleet.v1.Reserved that holds the lender's request id.
const reservedRequestField = "request"

func (n *Network) recordPart(request *fleetv1.Request, response *fleetv1.Response) {
	reserved := response.GetReserved()
	if reserved == nil {
		return
	}
	message := reserved.ProtoReflect()
	field := message.Descriptor().Fields().ByName(reservedRequestField)
	if field == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parts = append(n.parts, Part{request.GetReserve().GetRequest(), message.Get(field).String()})
}

// deliver runs the request at its receiver even if the caller has given up.
func (c *networkCaller) deliver(ctx context.Context, to Endpoint, request *fleetv1.Request, responses chan<- *fleetv1.Response) {
	c.network.clock.Sleep(c.network.latency(c.from, to, proto.Size(request)))
	receiver := c.network.hostAt(to)
	if receiver.handler == nil || receiver.gate.Enter(context.Background()) != nil {
		return
	}
	response := receiver.handler(ctx, request)
	c.network.recordPart(request, response)
	if receiver.gate.Enter(context.Background()) != nil || !c.network.Reachable(to, c.from) {
		return
	}
	c.network.clock.Sleep(c.network.latency(to, c.from, proto.Size(response)))
	responses <- proto.Clone(response).(*fleetv1.Response)
}
