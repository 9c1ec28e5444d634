package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/peer"
)

const (
	pingInterval = time.Second
	pingTimeout  = time.Second
	// suspectAfter is how long a silent node still gets addresses handed out.
	suspectAfter = 3 * time.Second
)

// Member is what this node knows of another one.
type Member struct {
	Node     *recordv1.NodeInfo
	Draining bool
	// Suspect is set once the node has been silent for suspectAfter.
	Suspect  bool
	InFlight uint32

	heard time.Time
}

// Members pings the other nodes and keeps what they answer. It is safe for
// concurrent use.
type Members struct {
	self   *recordv1.NodeInfo
	clock  clockwork.Clock
	caller peer.Caller
	events *event.Recorder
	// known lists the nodes that the log holds open.
	known func() []*recordv1.NodeInfo
	view  func() *fleetv1.PeerView

	mu      sync.Mutex
	members map[string]*Member
}

// NewMembers returns an empty table. known lists the incarnations that the log
// holds open, view describes this node to others.
func NewMembers(self *recordv1.NodeInfo, clock clockwork.Clock, caller peer.Caller, events *event.Recorder,
	known func() []*recordv1.NodeInfo, view func() *fleetv1.PeerView) *Members {
	return &Members{self: self, clock: clock, caller: caller, events: events, known: known, view: view, members: map[string]*Member{}}
}

// Run pings all members every interval until ctx ends.
func (m *Members) Run(ctx context.Context) {
	ticker := m.clock.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		m.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (m *Members) round(ctx context.Context) {
	nodes := m.known()
	m.keep(nodes)
	var wait sync.WaitGroup
	for _, node := range nodes {
		if node.GetIncarnation() == m.self.GetIncarnation() {
			continue
		}
		wait.Go(func() { m.ping(ctx, node) })
	}
	wait.Wait()
	m.suspect()
}

// keep drops members that the log no longer holds open.
func (m *Members) keep(nodes []*recordv1.NodeInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := map[string]bool{}
	for _, node := range nodes {
		held[node.GetIncarnation()] = true
		if m.members[node.GetIncarnation()] == nil && node.GetIncarnation() != m.self.GetIncarnation() {
			m.members[node.GetIncarnation()] = &Member{Node: node, Suspect: true}
		}
	}
	for incarnation := range m.members {
		if !held[incarnation] {
			delete(m.members, incarnation)
			m.events.Record(event.PeerGone, "peer", incarnation)
		}
	}
}

func (m *Members) ping(ctx context.Context, node *recordv1.NodeInfo) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, pingTimeout)
	defer cancel()
	answer, err := m.caller.Call(ctx, node.GetPeerAddress(), &fleetv1.Request{
		From: m.self.GetIncarnation(),
		Hlc:  uint64(m.events.Clock().Now()),
		Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: []*fleetv1.PeerView{m.view()}}},
	})
	if err != nil {
		return
	}
	m.events.Clock().Observe(event.Stamp(answer.GetHlc()))
	for _, view := range answer.GetPong().GetViews() {
		m.Heard(view)
	}
}

// Heard takes in what a member said of itself.
func (m *Members) Heard(view *fleetv1.PeerView) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member := m.members[view.GetNode().GetIncarnation()]
	if member == nil {
		return
	}
	if member.Suspect {
		m.events.Record(event.PeerJoined, "peer", view.GetNode().GetIncarnation())
	}
	member.Suspect = false
	member.Draining = view.GetDraining()
	member.InFlight = view.GetInFlight()
	member.heard = m.clock.Now()
}

func (m *Members) suspect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for incarnation, member := range m.members {
		if !member.Suspect && m.clock.Since(member.heard) > suspectAfter {
			member.Suspect = true
			m.events.Record(event.PeerSuspect, "peer", incarnation)
		}
	}
}

// All returns the other nodes, sorted by incarnation.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, *member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node.GetIncarnation() < all[j].Node.GetIncarnation() })
	return all
}
