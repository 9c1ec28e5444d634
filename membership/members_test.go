package membership

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
)

// network joins Members in one process; it runs in the fake time of a synctest bubble.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*testNode
	open     []*recordv1.NodeInfo
	cut      func(from, to string) bool
	messages int
	// frozen keeps what the log shows as it is.
	frozen bool
}

type testNode struct {
	info     *recordv1.NodeInfo
	members  *Members
	draining atomic.Bool
	cancel   context.CancelFunc
}

func newNetwork() *network {
	return &network{nodes: map[string]*testNode{}, cut: func(string, string) bool { return false }}
}

func info(incarnation, address string) *recordv1.NodeInfo {
	return &recordv1.NodeInfo{Incarnation: incarnation, PeerAddress: address, HttpAddress: "http-" + address, Region: "here"}
}

func (n *network) start(t *testing.T, incarnation, address string) *testNode {
	clock := clockwork.NewRealClock()
	events := event.NewRecorder(event.NewHLC(clock), incarnation, 100, golog.NewNopLogger())
	node := &testNode{info: info(incarnation, address)}
	node.members = NewMembers(node.info, clock, caller{n, address}, events, n.known, func() *fleetv1.PeerView {
		return &fleetv1.PeerView{Node: node.info, Draining: node.draining.Load(), ConfigOffset: 1}
	})
	ctx, cancel := context.WithCancel(t.Context())
	node.cancel = cancel
	n.mu.Lock()
	n.nodes[address] = node
	if !n.frozen {
		n.open = append(n.open, node.info)
	}
	n.mu.Unlock()
	go node.members.Run(ctx)
	return node
}

func (n *network) startAll(t *testing.T, count int) []*testNode {
	var nodes []*testNode
	for i := range count {
		nodes = append(nodes, n.start(t, fmt.Sprint("node", i), fmt.Sprint("a", i)))
	}
	time.Sleep(20 * time.Second)
	return nodes
}

func (n *network) known() []*recordv1.NodeInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*recordv1.NodeInfo(nil), n.open...)
}

func (n *network) kill(node *testNode) {
	node.cancel()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, node.info.GetPeerAddress())
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) passes(from, to string) *testNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	if n.cut(from, to) {
		return nil
	}
	return n.nodes[to]
}

// caller is the network as one node sees it.
type caller struct {
	network *network
	from    string
}

func (c caller) Call(ctx context.Context, to string, r *fleetv1.Request) (*fleetv1.Response, error) {
	node := c.network.passes(c.from, to)
	if node == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response := &fleetv1.Response{Body: &fleetv1.Response_Pong{Pong: &fleetv1.Pong{Views: node.members.HandlePing(r.GetPing().GetViews())}}}
	if via := r.GetPingVia(); via != nil {
		views, err := node.members.HandlePingVia(ctx, via)
		if err != nil {
			return nil, errors.New("unreachable")
		}
		response.Body = &fleetv1.Response_Pong{Pong: &fleetv1.Pong{Views: views}}
	}
	if c.network.passes(to, c.from) == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return response, nil
}

func (n *testNode) handsOut() int {
	return len(n.members.Addresses(AddressQuery{SelfServing: !n.draining.Load()}))
}

// Three of seven instances die at the same time. Callers that ask any of the others
// must soon be given the four that answer, and only these.
func TestConcurrentNodeFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startAll(t, 7)
		for _, node := range nodes {
			is.Equal(node.handsOut(), 7)
		}
		for _, node := range nodes[:3] {
			net.kill(node)
		}
		time.Sleep(10 * time.Second)
		for _, node := range nodes[3:] {
			is.Equal(node.handsOut(), 4)
		}
	})
}

// Messages from one node to another get lost, and only in that direction. Both are
// alive and reachable for callers, so both must stay among the addresses.
func TestOneWayPartitionKeepsAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startAll(t, 7)
		net.setCut(func(from, to string) bool { return from == "a0" && (to == "a1" || to == "a2" || to == "a3") })
		for range 60 {
			time.Sleep(time.Second)
			for _, node := range nodes {
				is.Equal(node.handsOut(), 7)
			}
		}
	})
}

// One node is cut off from all others and comes back. It suspected everybody; were
// that believed, no node would hand out any other for a while.
func TestIsolatedNodeDoesNotSpreadSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startAll(t, 24)
		net.setCut(func(from, to string) bool { return from == "a0" || to == "a0" })
		time.Sleep(30 * time.Second)
		is.Equal(nodes[0].handsOut(), 1)
		net.setCut(func(string, string) bool { return false })
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, node := range nodes[1:] {
				is.True(node.handsOut() >= 23)
			}
		}
		is.Equal(nodes[0].handsOut(), 24)
	})
}

// An instance is replaced at the same address while the log, which would tell, is
// out of reach. The old incarnation must make room at the first word of the new one,
// or callers are sent by a stale entry.
func TestRestartAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startAll(t, 3)
		net.kill(nodes[0])
		net.frozen = true // the log is down: it shows the old incarnation for ever
		fresh := net.start(t, "node0-again", "a0")
		time.Sleep(15 * time.Second)
		for _, node := range append(nodes[1:], fresh) {
			is.Equal(node.handsOut(), 3)
			for _, m := range node.members.All() {
				is.True(m.Node.GetIncarnation() != "node0")
			}
		}
	})
}

// A node that drains tells all others at once. An address given out after that would
// refuse its caller.
func TestDrainingNodeIsNotHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startAll(t, 7)
		nodes[2].draining.Store(true)
		is.Equal(nodes[2].members.AnnounceDrain(t.Context()), 0)
		for _, node := range nodes {
			is.Equal(node.handsOut(), 6)
		}
	})
}

// What a node sends must not grow with the square of the fleet: in the quiet each
// sends one ping a period, whatever the number of the others.
func TestTrafficPerNodeIsConstant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, count := range []int{7, 60} {
			net := newNetwork()
			nodes := net.startAll(t, count)
			net.mu.Lock()
			before := net.messages
			net.mu.Unlock()
			time.Sleep(100 * time.Second)
			net.mu.Lock()
			perNode := float64(net.messages-before) / float64(count) / 100
			net.mu.Unlock()
			is.True(perNode < 2.2) // one ping and one answer each second
			is.True(len(nodes[0].members.table.Neighbours()) <= bits.Len(uint(count)))
			for _, node := range nodes {
				net.kill(node)
			}
		}
	})
}
