package membership

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// period is the time between two pings of this node.
	period = time.Second
	// stall is a pause between two steps that can only mean that the process stood.
	stall = 3 * period
	// trustDirect is how long an own answer outweighs what others suspect.
	trustDirect = 3 * time.Second
	// isolatedAfter is how long without any answer a node takes itself as cut off.
	isolatedAfter = 6 * time.Second
	// forgetAfter is how long a silent member is kept that the log doesn't hold open.
	forgetAfter = 10 * time.Minute
	// firstFlap is the number of returns from which on a member has to settle.
	firstFlap = 2
	// maxSettle bounds the time for which a flapping member is left out.
	maxSettle = time.Minute
	// calmAfter is how long without a return halves the count of returns.
	calmAfter = 2 * time.Minute
	// newsSpread is how often news is passed on, times the logarithm of the fleet.
	newsSpread = 2
	// maxTombs is how many ended incarnations are remembered, so that late words of
	// theirs don't bring them back.
	maxTombs = 1024
	// maxIntroduced is up to how many members a newcomer is told addresses of.
	maxIntroduced = 32
	// maxNews and maxFill bound the views in a message.
	maxNews = 6
	maxFill = 2
)

// ChangeKind is what happened to a member.
type ChangeKind int

// The kinds of changes.
const (
	Joined ChangeKind = iota
	Suspected
	Gone
	Replaced
	Stalled
)

// Change is one decision, for the time line.
type Change struct {
	Kind        ChangeKind
	Incarnation string
}

// Table is the decisions of one node about the others. It knows neither clock nor
// network: whoever drives it passes the time in. It isn't safe for concurrent use.
type Table struct {
	self    *recordv1.NodeInfo
	beat    uint64
	members map[string]*Member
	// open is the set that the log holds open.
	open map[string]bool
	// ended holds closed and replaced incarnations, tombs their order.
	ended map[string]bool
	tombs []string
	turn  int
	fill  int

	stepped time.Time
	// woke is when the process was seen to run again after it stood.
	woke time.Time
	// answered is when any member answered last.
	answered time.Time
	changes  []Change
	// grown tells that the log opened a node since Grown was called last.
	grown bool
}

// NewTable returns a table without members.
func NewTable(self *recordv1.NodeInfo) *Table {
	return &Table{self: self, beat: 1, members: map[string]*Member{}, open: map[string]bool{}, ended: map[string]bool{}}
}

// Step begins a period: it takes in the nodes that the log holds open and returns
// the member to ping, nil when there is none.
func (t *Table) Step(now time.Time, open []*recordv1.NodeInfo) *recordv1.NodeInfo {
	t.wake(now)
	t.keep(now, open)
	t.settle(now)
	t.isolate(now)
	neighbours := t.Neighbours()
	if len(neighbours) == 0 {
		return nil
	}
	t.turn++
	return neighbours[t.turn%len(neighbours)]
}

// wake notices that the process stood. Without this every member would seem to have
// been silent for as long, and a stopped and woken node would declare all others
// dead and hand out its own address alone.
func (t *Table) wake(now time.Time) {
	if !t.stepped.IsZero() && now.Sub(t.stepped) > stall {
		t.woke = now
		t.answered = t.answered.Add(now.Sub(t.stepped))
		t.note(Stalled, t.self.GetIncarnation())
		for _, m := range t.members {
			m.heard = m.heard.Add(now.Sub(t.stepped))
		}
	}
	t.stepped = now
}

// keep follows the log: it adds the nodes that the log opened and drops those that
// it closed.
func (t *Table) keep(now time.Time, open []*recordv1.NodeInfo) {
	before := t.open
	t.open = make(map[string]bool, len(open))
	for _, node := range open {
		incarnation := node.GetIncarnation()
		if node.GetPeerAddress() == t.self.GetPeerAddress() {
			continue
		}
		t.open[incarnation] = true
		if t.members[incarnation] == nil && !t.ended[incarnation] {
			t.add(now, node)
			t.grown = true
		}
	}
	for incarnation, m := range t.members {
		closed := before[incarnation] && !t.open[incarnation]
		forgotten := m.Suspect && !t.open[incarnation] && now.Sub(m.heard) > forgetAfter
		if closed || forgotten {
			t.end(Gone, incarnation)
		}
	}
}

func (t *Table) end(kind ChangeKind, incarnation string) {
	delete(t.members, incarnation)
	t.note(kind, incarnation)
	t.ended[incarnation] = true
	t.tombs = append(t.tombs, incarnation)
	if len(t.tombs) > maxTombs {
		delete(t.ended, t.tombs[0])
		t.tombs = t.tombs[1:]
	}
}

// add enters a member that has yet to answer. It replaces an earlier incarnation at
// the same address, since only one process can hold the address.
func (t *Table) add(now time.Time, node *recordv1.NodeInfo) *Member {
	for incarnation, m := range t.members {
		if m.Node.GetPeerAddress() == node.GetPeerAddress() {
			t.end(Replaced, incarnation)
		}
	}
	m := &Member{Node: node, Suspect: true, heard: now}
	t.members[node.GetIncarnation()] = m
	return m
}

// isolate suspects everybody while nobody answers: only the neighbours are pinged,
// and of the others nothing is known any more. It is this node that is cut off, so
// the suspicion is kept private.
func (t *Table) isolate(now time.Time) {
	if !t.alone(now) {
		return
	}
	for _, m := range t.members {
		if !m.Suspect {
			t.suspect(m)
			t.keepPrivate(m)
		}
	}
}

// alone tells that no member has answered for a while.
func (t *Table) alone(now time.Time) bool { return now.Sub(t.answered) > isolatedAfter }

// keepPrivate holds a suspicion back from others. Were it passed on once this node is
// back, it would take the whole fleet out of the addresses.
func (t *Table) keepPrivate(m *Member) {
	m.private = true
	m.news = 0
}

func (t *Table) settle(now time.Time) {
	for _, m := range t.members {
		m.Settling = now.Before(m.settles)
		if m.flaps > 0 && !m.Suspect && now.Sub(m.settles) > calmAfter {
			m.flaps /= 2
			m.settles = now
		}
	}
}

// Neighbours returns the members that this node pings: those 1, 2, 4… places after
// it in the order of hashed names. Each node so has as many watchers as it watches,
// the logarithm of the fleet's size, and news takes as many hops.
func (t *Table) Neighbours() []*recordv1.NodeInfo {
	ring := t.ring()
	var neighbours []*recordv1.NodeInfo
	for distance := 1; distance <= len(ring); distance *= 2 {
		neighbours = append(neighbours, ring[distance-1])
	}
	return neighbours
}

// ring returns the members in the order of hashed names, beginning after self.
func (t *Table) ring() []*recordv1.NodeInfo {
	ring := make([]*recordv1.NodeInfo, 0, len(t.members))
	for _, m := range t.members {
		ring = append(ring, m.Node)
	}
	start := xxhash.Sum64String(t.self.GetIncarnation())
	sort.Slice(ring, func(i, j int) bool {
		return xxhash.Sum64String(ring[i].GetIncarnation())-start < xxhash.Sum64String(ring[j].GetIncarnation())-start
	})
	return ring
}

// Helpers returns up to n members to ask for an indirect ping of target.
func (t *Table) Helpers(target string, n int) []*recordv1.NodeInfo {
	var helpers []*recordv1.NodeInfo
	for _, node := range t.ring() {
		m := t.members[node.GetIncarnation()]
		if node.GetIncarnation() != target && !m.Suspect && len(helpers) < n {
			helpers = append(helpers, node)
		}
	}
	return helpers
}

// Heard takes in the views of a message that sender itself sent, its own view first.
// It returns whether any of it is news to pass on at once.
func (t *Table) Heard(now time.Time, sender string, views []*fleetv1.PeerView) bool {
	urgent := false
	for _, view := range views {
		incarnation := view.GetNode().GetIncarnation()
		switch incarnation {
		case t.self.GetIncarnation():
			urgent = t.refute(view) || urgent
		case sender:
			urgent = t.direct(now, view) || urgent
		default:
			urgent = t.told(now, view) || urgent
		}
	}
	return urgent
}

// refute answers a suspicion against this node by a higher beat.
func (t *Table) refute(view *fleetv1.PeerView) bool {
	if !view.GetSuspect() || view.GetBeat() < t.beat {
		return false
	}
	t.beat = view.GetBeat() + 1
	return true
}

// direct takes in what a member said of itself.
func (t *Table) direct(now time.Time, view *fleetv1.PeerView) bool {
	m := t.members[view.GetNode().GetIncarnation()]
	if m == nil {
		if !t.admits(view.GetNode()) {
			return false
		}
		m = t.add(now, view.GetNode())
	}
	t.answered = now
	m.heard = now
	m.InFlight = view.GetInFlight()
	m.ConfigOffset = max(m.ConfigOffset, view.GetConfigOffset())
	urgent := t.announced(m, view)
	m.beat = max(m.beat, view.GetBeat())
	if m.Suspect {
		t.returned(now, m)
		urgent = true
	}
	if urgent {
		m.news = t.spread()
	}
	return urgent
}

// told takes in what one member said of another one.
func (t *Table) told(now time.Time, view *fleetv1.PeerView) bool {
	m := t.members[view.GetNode().GetIncarnation()]
	if m == nil && !view.GetSuspect() && t.unheardOf(view.GetNode()) {
		m = t.add(now, view.GetNode())
	}
	if m == nil || view.GetBeat() < m.beat {
		return false
	}
	m.ConfigOffset = max(m.ConfigOffset, view.GetConfigOffset())
	if now.Sub(m.heard) > trustDirect {
		m.InFlight = view.GetInFlight()
	}
	urgent := t.announced(m, view)
	switch {
	case view.GetSuspect() && !m.Suspect && now.Sub(m.heard) > trustDirect:
		t.suspect(m)
		urgent = true
	case !view.GetSuspect() && m.Suspect && (view.GetBeat() > m.beat || m.private):
		t.returned(now, m)
		urgent = true
	}
	m.beat = view.GetBeat()
	if urgent {
		m.news = t.spread()
	}
	return urgent
}

// announced takes over what a member announced under a higher beat: that it serves,
// or that it leaves.
func (t *Table) announced(m *Member, view *fleetv1.PeerView) bool {
	if view.GetBeat() <= m.beat || view.GetDraining() == m.Draining {
		return false
	}
	m.Draining = view.GetDraining()
	return true
}

// unheardOf tells whether a node that only others know of may be entered: its
// address must be free, since hearsay doesn't tell which of two came later.
func (t *Table) unheardOf(node *recordv1.NodeInfo) bool {
	return t.admits(node) && !t.Knows(node.GetPeerAddress())
}

// admits tells whether a node can be another one than this, and hasn't ended.
func (t *Table) admits(node *recordv1.NodeInfo) bool {
	address := node.GetPeerAddress()
	return address != "" && address != t.self.GetPeerAddress() && !t.ended[node.GetIncarnation()]
}

// returned ends a suspicion. A member that keeps coming and going is left out for
// longer each time; its callers would be refused every time it goes.
func (t *Table) returned(now time.Time, m *Member) {
	m.Suspect = false
	t.note(Joined, m.Node.GetIncarnation())
	if m.private {
		m.private = false
		return
	}
	m.flaps++
	if m.flaps > firstFlap {
		m.settles = now.Add(min(time.Second<<min(m.flaps, 10), maxSettle))
		m.Settling = true
	} else {
		m.settles = now
	}
}

// Failed takes in that a member answered neither this node nor the helpers, in an
// attempt that began at started. It returns whether that is news.
func (t *Table) Failed(now, started time.Time, incarnation string) bool {
	m := t.members[incarnation]
	if m == nil || m.Suspect || !m.heard.Before(started) {
		return false
	}
	// An attempt during which this process stood says nothing of the other one.
	if started.Before(t.woke) || now.Sub(started) > stall {
		return false
	}
	t.suspect(m)
	// While nobody else answers either, this node itself may be cut off.
	if now.Sub(t.answered) > trustDirect {
		t.keepPrivate(m)
		return false
	}
	return true
}

func (t *Table) suspect(m *Member) {
	m.Suspect = true
	m.news = t.spread()
	t.note(Suspected, m.Node.GetIncarnation())
}

// spread is how many messages carry a piece of news.
func (t *Table) spread() int { return newsSpread * (bits.Len(uint(len(t.members))) + 1) }

// Views returns what the next message carries beside the node's own view: the news,
// and in turn a few members' load without how to reach them.
func (t *Table) Views() []*fleetv1.PeerView {
	ring := t.ring()
	var views []*fleetv1.PeerView
	for _, node := range ring {
		m := t.members[node.GetIncarnation()]
		if m.news > 0 && len(views) < maxNews {
			m.news--
			views = append(views, m.view())
		}
	}
	for range min(maxFill, len(ring)) {
		t.fill++
		m := t.members[ring[t.fill%len(ring)].GetIncarnation()]
		if m.private || m.beat == 0 {
			continue
		}
		view := m.view()
		view.Node = &recordv1.NodeInfo{Incarnation: m.Node.GetIncarnation()}
		views = append(views, view)
	}
	return views
}

// Introduction returns what a newcomer is told: all members that answer, and how to
// reach them unless the fleet is so large that the newcomer is left to the log.
func (t *Table) Introduction() []*fleetv1.PeerView {
	var views []*fleetv1.PeerView
	for _, m := range t.members {
		if m.Suspect {
			continue
		}
		view := m.view()
		if len(t.members) > maxIntroduced {
			view.Node = &recordv1.NodeInfo{Incarnation: m.Node.GetIncarnation()}
		}
		views = append(views, view)
	}
	return views
}

// Newcomer tells whether a sender isn't known as answering.
func (t *Table) Newcomer(sender string) bool {
	m := t.members[sender]
	return m == nil || m.Suspect
}

// Grown tells whether the log opened a node since it was called last.
func (t *Table) Grown() bool {
	grown := t.grown
	t.grown = false
	return grown
}

// Knows tells whether a member holds a peer address.
func (t *Table) Knows(address string) bool {
	for _, m := range t.members {
		if m.Node.GetPeerAddress() == address {
			return true
		}
	}
	return false
}

// Beat returns this node's own beat.
func (t *Table) Beat() uint64 { return t.beat }

// Raise makes this node's own view outweigh all earlier ones.
func (t *Table) Raise() { t.beat++ }

// All returns the members, sorted by incarnation.
func (t *Table) All() []Member {
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, *m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node.GetIncarnation() < all[j].Node.GetIncarnation() })
	return all
}

// Changes returns what happened since it was called last.
func (t *Table) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Table) note(kind ChangeKind, incarnation string) {
	t.changes = append(t.changes, Change{Kind: kind, Incarnation: incarnation})
}
