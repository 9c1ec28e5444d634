package membership

import (
	"sort"
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// period is the time between two pings of this node.
	period = time.Second
	// stall is a pause between two steps that can only mean that the process stood.
	stall = 3 * period
	// forgetAfter is how long a silent member is kept that the log doesn't hold open.
	forgetAfter = 10 * time.Minute
	// maxTombs is how many ended incarnations are remembered, so that late words of
	// theirs don't bring them back.
	maxTombs = 1024
)

// Table is the decisions of one node about the others. It knows neither clock nor
// network: whoever drives it passes the time in. It isn't safe for concurrent use.
type Table struct {
	self    *recordv1.NodeInfo
	beat    uint64
	members map[string]*Member
	// numbers finds members by what messages name them by.
	numbers map[uint64]*Member
	// open is the set that the log holds open, this node included.
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
	return &Table{self: self, beat: 1, members: map[string]*Member{}, numbers: map[uint64]*Member{}, open: map[string]bool{}, ended: map[string]bool{}}
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
		t.open[incarnation] = true
		if node.GetPeerAddress() == t.self.GetPeerAddress() {
			continue
		}
		if t.members[incarnation] == nil && !t.ended[incarnation] && !t.outdated(node) {
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

// outdated tells that another incarnation, which the log doesn't show yet, answers at
// the node's address: the log lags. Were the node entered, it would end the one that
// answers, which is never admitted again, and this node would hand out one address less.
func (t *Table) outdated(node *recordv1.NodeInfo) bool {
	for incarnation, m := range t.members {
		if m.Node.GetPeerAddress() == node.GetPeerAddress() {
			return !m.Suspect && !t.open[incarnation]
		}
	}
	return false
}

func (t *Table) end(kind ChangeKind, incarnation string) {
	delete(t.numbers, numberOf(t.members[incarnation].Node))
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
	t.numbers[numberOf(node)] = m
	return m
}

// NodesAdded tells whether the log opened a node since it was called last.
func (t *Table) NodesAdded() bool {
	grown := t.grown
	t.grown = false
	return grown
}

// HasAddress tells whether a member holds a peer address.
func (t *Table) HasAddress(address string) bool {
	for _, m := range t.members {
		if m.Node.GetPeerAddress() == address {
			return true
		}
	}
	return false
}

// Beat returns this node's own beat.
func (t *Table) Beat() uint64 { return t.beat }

// IncrementBeat makes this node's own view outweigh all earlier ones.
func (t *Table) IncrementBeat() { t.beat++ }

// Suspects tells whether a node doesn't answer; true for one that isn't a member.
func (t *Table) Suspects(incarnation string) bool {
	m := t.members[incarnation]
	return m == nil || m.Suspect
}

// All returns the members, sorted by incarnation.
func (t *Table) All() []Member {
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, *m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node.GetIncarnation() < all[j].Node.GetIncarnation() })
	return all
}
