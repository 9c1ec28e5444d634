package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
)

// startKnowing starts a node whose own log shows the given nodes as open.
func (n *network) startKnowing(t *testing.T, self *recordv1.NodeInfo, open ...*recordv1.NodeInfo) *testNode {
	clock := clockwork.NewRealClock()
	events := event.NewRecorder(event.NewHLC(clock), self.GetIncarnation(), 100, golog.NewNopLogger())
	node := &testNode{info: self}
	node.members = NewMembers(self, clock, caller{n, self.GetPeerAddress()}, events,
		func() []*recordv1.NodeInfo { return open }, func() *fleetv1.PeerView { return &fleetv1.PeerView{Node: self} })
	ctx, cancel := context.WithCancel(t.Context())
	node.cancel = cancel
	n.mu.Lock()
	n.nodes[self.GetPeerAddress()] = node
	n.mu.Unlock()
	go node.members.Run(ctx)
	return node
}

// A node is cut from the log before others join, which name themselves by a number that
// only the log explains. It must learn who they are all the same, or its callers are
// given its own address alone.
func TestLaggingNodeResolvesUnknownMemberID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		a, b := info("a", "a0"), info("b", "a1")
		behind := net.startKnowing(t, a)
		current := net.startKnowing(t, b, a, b)
		time.Sleep(3 * time.Second)
		is.Equal(behind.handsOut(), 2)
		is.Equal(current.handsOut(), 2)
	})
}

// An instance is replaced at its address, and the new incarnation is in a log that the
// other node is cut from. That one pings the old incarnation and is answered by a
// number it doesn't know; it must not go on with the old one's entry.
func TestLaggingNodeLearnsOfRestartedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		a, old, fresh := info("a", "a0"), info("b", "a1"), info("b-again", "a1")
		behind := net.startKnowing(t, a, a, old)
		first := net.startKnowing(t, old, a, old)
		time.Sleep(2 * time.Second)
		net.kill(first)
		net.startKnowing(t, fresh, a, fresh)
		time.Sleep(5 * time.Second)
		is.Equal(behind.handsOut(), 2)
		is.Equal(behind.members.All()[0].Node.GetIncarnation(), "b-again")
	})
}

// A node that starts is spoken to by an instance just replaced, before it has read in
// the log of the incarnation that came before at the same address. The late entry must
// not end the one that answers, or this node never hands its address out.
func TestLateLogEntryOfReplacedIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(info("self", "a"))
	old, fresh := info("b", "a1"), info("b-again", "a1")
	table.Step(now, nil)
	table.ApplyViews(now, "b-again", []*fleetv1.PeerView{{Node: fresh, Beat: 1}})
	table.Step(now.Add(time.Second), []*recordv1.NodeInfo{old})
	table.Step(now.Add(2*time.Second), []*recordv1.NodeInfo{old, fresh})
	table.Step(now.Add(3*time.Second), []*recordv1.NodeInfo{fresh})
	is.Equal(len(table.All()), 1)
	is.Equal(usable(table), 1)
}

// Every node of a fleet that starts is news to every other. Were each written out, the
// spread of the news would cost several times what a node may spend on control.
func TestUpdatesOfOpenNodesAreCompact(t *testing.T) {
	is := is.New(t)
	table, _ := tableOf(time.Unix(1000, 0), 200)
	table.ApplyViews(time.Unix(1000, 0), "x", []*fleetv1.PeerView{{Node: info("x", "ax"), Beat: 1}})
	writtenOut := 0
	for range 400 {
		for _, view := range table.Views() {
			if view.GetNode() != nil {
				writtenOut++
				is.Equal(view.GetNode().GetIncarnation(), "x") // the log doesn't show it
				continue
			}
			is.True(proto.Size(view) <= 24)
		}
	}
	is.True(writtenOut > 0)
}
