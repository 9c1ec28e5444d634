package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// testNodes are nodes whose messages take a time between data centres.
type testNodes struct {
	mu       sync.Mutex
	peers    []Peer
	spreader map[string]*Spreader
	heardAt  map[string]time.Time
	// messages and between count the messages, and those between data centres.
	messages, between int
	// silent are nodes that don't answer.
	silent map[string]bool
}

// testTransport sends from one node.
type testTransport struct {
	nodes *testNodes
	from  Peer
}

// pass passes a message to another node, which takes a time.
func (t *testTransport) pass(ctx context.Context, address string) error {
	nodes := t.nodes
	nodes.mu.Lock()
	var to Peer
	for _, p := range nodes.peers {
		if p.Address == address {
			to = p
		}
	}
	nodes.messages++
	delay := time.Millisecond
	if to.DataCentre != t.from.DataCentre {
		nodes.between++
		delay = 30 * time.Millisecond
	}
	silent := nodes.silent[to.Node]
	nodes.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.New("silent")
	}
	time.Sleep(delay)
	return nil
}

func (t *testTransport) Tell(ctx context.Context, address string, n News) error {
	if err := t.pass(ctx, address); err != nil {
		return err
	}
	nodes, to := t.nodes, "n"+address[1:]
	nodes.mu.Lock()
	if _, heard := nodes.heardAt[to]; !heard {
		nodes.heardAt[to] = time.Now()
	}
	nodes.mu.Unlock()
	if n.PassOn {
		nodes.spreader[to].PassOn(n)
	}
	return nil
}

func (t *testTransport) Ask(context.Context, string, Inquiries) ([]Standing, error) {
	return nil, errors.New("not asked")
}

// heard returns when a node was told.
func (n *testNodes) heard(node string) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.heardAt[node]
	return at, ok
}

func newTestNodes(count, dataCentres int) *testNodes {
	nodes := &testNodes{spreader: make(map[string]*Spreader), heardAt: make(map[string]time.Time), silent: make(map[string]bool)}
	for i := range count {
		nodes.peers = append(nodes.peers, Peer{Node: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	recorder := event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), "n", 16, log.NewNopLogger())
	for _, p := range nodes.peers {
		nodes.spreader[p.Node] = &Spreader{Node: p.Node, DataCentre: p.DataCentre, Events: recorder, Transport: &testTransport{nodes, p}, Peers: func() []Peer {
			var others []Peer
			for _, o := range nodes.peers {
				if o.Node != p.Node {
					others = append(others, o)
				}
			}
			return others
		}}
	}
	return nodes
}

// Guards against news that reaches some nodes only, or that crosses the link between regions once for each node.
func TestNewsReachesAllNodes(t *testing.T) {
	for _, count := range []int{7, 86, 295} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				nodes := newTestNodes(count, 3)
				for _, relay := range []string{"n1", "n4", "n5", "n7", "n10", "n13"} {
					nodes.silent[relay] = count > directPeers
				}
				started := time.Now()
				nodes.spreader["n0"].Publish(News{Crashes: []ToldCrash{{ID: 1, Request: 1}}})
				time.Sleep(6 * time.Second)
				var last time.Duration
				for _, p := range nodes.peers[1:] {
					if !nodes.silent[p.Node] {
						at, heard := nodes.heard(p.Node)
						is.True(heard)
						last = max(last, at.Sub(started))
					}
				}
				nodes.mu.Lock()
				defer nodes.mu.Unlock()
				t.Logf("%d nodes: all heard after %v, %d messages, %d between data centres", count, last, nodes.messages, nodes.between)
				is.True(last < time.Second)
				if count > directPeers {
					is.True(nodes.between <= 2*relaysEach+2*maxSends)
				}
				for _, s := range nodes.spreader {
					s.Stop()
				}
			})
		})
	}
}

// Guards against a node that is frozen, or cut off for two seconds, never hearing of a crash.
func TestSilentNodeIsToldLater(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newTestNodes(3, 3)
		nodes.silent["n1"] = true
		told := nodes.spreader["n0"].Publish(News{Crashes: []ToldCrash{{ID: 1, Request: 1}}})
		<-told // doesn't wait for more than one try
		time.Sleep(2 * time.Second)
		nodes.mu.Lock()
		nodes.silent["n1"] = false
		nodes.mu.Unlock()
		time.Sleep(4 * time.Second)
		_, heard := nodes.heard("n1")
		is.True(heard)
	})
}

// Guards against news that is dropped when much of it comes together.
func TestMuchNewsIsSentInSeveralMessages(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newTestNodes(2, 1)
		for i := range 3 * maxBatch {
			nodes.spreader["n0"].Publish(News{Crashes: []ToldCrash{{ID: ID(i + 1), Request: 1}}})
		}
		time.Sleep(time.Second)
		nodes.mu.Lock()
		defer nodes.mu.Unlock()
		is.Equal(nodes.messages, 3)
	})
}
