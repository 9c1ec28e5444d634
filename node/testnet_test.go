package node

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/ports"
)

// testNet delivers requests between nodes of one process. If a path is cut, isolated or lossy, the
// caller never gets a response.
type testNet struct {
	mu       sync.Mutex
	nodes    map[string]*Node
	regions  map[string]string
	cut      bool
	isolated map[string]bool
	// delay is how long messages take besides the millisecond in one data centre.
	delay time.Duration
	// loseAnswer decides whether the response is lost after the request took effect.
	loseAnswer func(*fleetv1.Request) bool
}

func newTestNet() *testNet {
	return &testNet{nodes: map[string]*Node{}, regions: map[string]string{}, isolated: map[string]bool{}}
}

func (n *testNet) connect(address, region string, node *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address], n.regions[address], n.isolated[address] = node, region, false
}

func (n *testNet) isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = true
}

func (n *testNet) setDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *testNet) path() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

func (n *testNet) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *testNet) loseAnswers(loseAnswer func(*fleetv1.Request) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loseAnswer = loseAnswer
}

// reaches reports whether a message from one address arrives at another or, if to is empty, at the
// log, which is in the near region.
func (n *testNet) reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	toRegion := nearRegion
	if to != "" {
		toRegion = n.regions[to]
	}
	return !n.isolated[from] && !n.isolated[to] && (!n.cut || n.regions[from] == toRegion)
}

type testCaller struct {
	net  *testNet
	from string
}

func (c *testCaller) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	time.Sleep(time.Millisecond + c.net.path())
	if !c.net.reaches(c.from, address) {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	c.net.mu.Lock()
	node, loseAnswer := c.net.nodes[address], c.net.loseAnswer
	c.net.mu.Unlock()
	response := proto.CloneOf(node.HandlePeer(ctx, proto.CloneOf(r)))
	time.Sleep(time.Millisecond + c.net.path())
	if !c.net.reaches(c.from, address) || loseAnswer != nil && loseAnswer(r) {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	return response, nil
}

// testLog is one node's connection to the log.
type testLog struct {
	fleet   *testFleet
	address string
}

func (l *testLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if !l.fleet.net.reaches(l.address, "") {
		<-ctx.Done()
		return 0, errors.Trace(ctx.Err())
	}
	return l.fleet.log.Append(ctx, stream, data)
}

func (l *testLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	if !l.fleet.net.reaches(l.address, "") {
		<-ctx.Done()
		return ports.ReadResult{}, errors.Trace(ctx.Err())
	}
	return l.fleet.log.Read(ctx, stream, from, max, wait)
}
