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
	nearLatency = 1500 * time.Microsecond
	farLatency  = 30 * time.Millisecond
	// lostAfter bounds a call without a deadline whose answer never comes.
	lostAfter = 10 * time.Second
)

// Endpoint is a name on the network: a peer address, an upstream or the log.
type Endpoint string

// LogEndpoint is where the platform's log stands.
const LogEndpoint Endpoint = "log"

type link struct{ from, to Endpoint }

type station struct {
	region string
	gate   *Gate
	handle peer.Handler
}

// Network joins nodes, upstreams and the log. Each direction of each link can be
// cut by itself. It is safe for concurrent use.
type Network struct {
	clock clockwork.Clock

	mu       sync.Mutex
	stations map[Endpoint]station
	cut      map[link]bool
	between  uint64
	parts    []Part
}

// Part links a request to the id under which a peer reserved a part of it.
type Part struct{ Request, Part string }

// NewNetwork returns a network without cuts.
func NewNetwork(clock clockwork.Clock) *Network {
	return &Network{clock: clock, stations: map[Endpoint]station{}, cut: map[link]bool{}}
}

// PlaceInRegion puts something that isn't a node into a region.
func (n *Network) PlaceInRegion(at Endpoint, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stations[at] = station{region: region}
}

// AttachNode puts a node at its peer address, in place of the one before.
func (n *Network) AttachNode(at Endpoint, region string, gate *Gate, handle peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stations[at] = station{region: region, gate: gate, handle: handle}
}

// Cut drops everything that goes one way.
func (n *Network) Cut(from, to Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = true
}

// Isolate drops everything between an endpoint and all others: towards the
// endpoint when in is set, and away from it when out is set.
func (n *Network) Isolate(at Endpoint, in, out bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.stations {
		if in {
			n.cut[link{other, at}] = true
		}
		if out {
			n.cut[link{at, other}] = true
		}
	}
}

// CutRegion drops everything between a region and the others.
func (n *Network) CutRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, here := range n.stations {
		for b, there := range n.stations {
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

// Reachable tells whether something sent now arrives.
func (n *Network) Reachable(from, to Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[link{from, to}]
}

// BytesBetweenRegions returns how much nodes sent each other across regions.
func (n *Network) BytesBetweenRegions() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.between
}

func (n *Network) latency(from, to Endpoint, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stations[from].region == n.stations[to].region {
		return nearLatency
	}
	n.between += uint64(size)
	return farLatency
}

func (n *Network) at(address Endpoint) station {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stations[address]
}

// Caller returns a node's side of the network.
func (n *Network) Caller(from Endpoint, gate *Gate, probe StepHook) peer.Caller {
	return &networkCaller{network: n, from: from, gate: gate, probe: probe}
}

type networkCaller struct {
	network *Network
	from    Endpoint
	gate    *Gate
	probe   StepHook
}

var errLost = errors.New("nothing came back")

// Call implements peer.Caller.
func (c *networkCaller) Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.network.clock, lostAfter)
	defer cancel()
	c.tell(request)
	if err := c.gate.Enter(ctx); err != nil {
		return nil, err
	}
	to := Endpoint(address)
	answer := make(chan *fleetv1.Response, 1)
	if c.network.Reachable(c.from, to) {
		go c.deliver(ctx, to, proto.Clone(request).(*fleetv1.Request), answer)
	}
	select {
	case response := <-answer:
		return response, c.gate.Enter(ctx)
	case <-ctx.Done():
		_ = c.gate.Enter(ctx)
		return nil, errors.Trace(errLost)
	}
}

func (c *networkCaller) tell(request *fleetv1.Request) {
	switch request.GetBody().(type) {
	case *fleetv1.Request_Reserve:
		c.probe(StepPeerReserve, string(c.from))
	case *fleetv1.Request_Witness:
		c.probe(StepWitness, string(c.from))
	}
}

// Parts returns the parts of requests that peers reserved, whether or not the
// answer arrived.
func (n *Network) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Part(nil), n.parts...)
}

// partField is the lender's request id in fleet.v1.Reserved.
const partField = "request"

func (n *Network) notePart(request *fleetv1.Request, response *fleetv1.Response) {
	reserved := response.GetReserved()
	if reserved == nil {
		return
	}
	message := reserved.ProtoReflect()
	field := message.Descriptor().Fields().ByName(partField)
	if field == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parts = append(n.parts, Part{request.GetReserve().GetRequest(), message.Get(field).String()})
}

// deliver runs the request at its receiver, whatever becomes of the caller.
func (c *networkCaller) deliver(ctx context.Context, to Endpoint, request *fleetv1.Request, answer chan<- *fleetv1.Response) {
	c.network.clock.Sleep(c.network.latency(c.from, to, proto.Size(request)))
	receiver := c.network.at(to)
	if receiver.handle == nil || receiver.gate.Enter(context.Background()) != nil {
		return
	}
	response := receiver.handle(ctx, request)
	c.network.notePart(request, response)
	if receiver.gate.Enter(context.Background()) != nil || !c.network.Reachable(to, c.from) {
		return
	}
	c.network.clock.Sleep(c.network.latency(to, c.from, proto.Size(response)))
	answer <- proto.Clone(response).(*fleetv1.Response)
}
