package membership

import (
	"sort"
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// pingInterval is the time between two pings sent by this node.
	pingInterval = time.Second
	// stallThreshold is the gap between two steps beyond which the process must have been
	// suspended.
	stallThreshold = 3 * pingInterval
	// forgetAfter is how long a silent member that isn't open in the log is kept.
	forgetAfter = 10 * time.Minute
	// maxTombstones is how many ended incarnations are remembered, so that late messages
	// about them don't add them again.
	maxTombstones = 1024
)

// Table is one node's state machine for the membership of the others. It uses neither
// clock nor network: callers pass in the time. It isn't safe for concurrent use.
type Table struct {
	self    *recordv1.NodeInfo
	beat    uint64
	members map[string]*Member
	// byID indexes members by the member ID used in messages.
	byID map[uint64]*Member
	// open is the set of incarnations open in the log, including this node's.
	open map[string]bool
	// ended is the set of closed and replaced incarnations, tombstones lists them oldest first.
	ended      map[string]bool
	tombstones []string
	// pingTurn and loadTurn are round-robin counters for pings and for load views.
	pingTurn int
	loadTurn int

	lastStep time.Time
	// resumedAt is when the process was found to run again after a suspension.
	resumedAt time.Time
	// lastAnswer is when any member last answered.
	lastAnswer time.Time
	changes    []Change
	// nodesAdded is set if the log opened a node since the last call of NodesAdded.
	nodesAdded bool
}

// NewTable returns a table without members.
func NewTable(self *recordv1.NodeInfo) *Table {
	return &Table{self: self, beat: 1, members: map[string]*Member{}, byID: map[uint64]*Member{}, open: map[string]bool{}, ended: map[string]bool{}}
}

// Step begins a period: it applies the set of nodes open in the log and returns the
// member to ping, or nil if there is none.
func (t *Table) Step(now time.Time, open []*recordv1.NodeInfo) *recordv1.NodeInfo {
	t.detectStall(now)
	t.syncOpenNodes(now, open)
	t.updateDamping(now)
	t.suspectAllWhenIsolated(now)
	neighbours := t.Neighbours()
	if len(neighbours) == 0 {
		return nil
	}
	t.pingTurn++
	return neighbours[t.pingTurn%len(neighbours)]
}

// detectStall detects that the process was suspended, and shifts the times of the last
// answers by the gap. Otherwise all members would seem to have been silent that long,
// and a resumed node would suspect them all and hand out only its own address.
func (t *Table) detectStall(now time.Time) {
	if !t.lastStep.IsZero() && now.Sub(t.lastStep) > stallThreshold {
		t.resumedAt = now
		t.lastAnswer = t.lastAnswer.Add(now.Sub(t.lastStep))
		t.recordChange(Stalled, t.self.GetIncarnation())
		for _, m := range t.members {
			m.lastHeard = m.lastHeard.Add(now.Sub(t.lastStep))
		}
	}
	t.lastStep = now
}

// syncOpenNodes adds the nodes that the log opened and removes those that it closed.
func (t *Table) syncOpenNodes(now time.Time, open []*recordv1.NodeInfo) {
	before := t.open
	t.open = make(map[string]bool, len(open))
	for _, node := range open {
		incarnation := node.GetIncarnation()
		t.open[incarnation] = true
		if node.GetPeerAddress() == t.self.GetPeerAddress() {
			continue
		}
		if t.members[incarnation] == nil && !t.ended[incarnation] && !t.superseded(node) {
			t.add(now, node)
			t.nodesAdded = true
		}
	}
	for incarnation, m := range t.members {
		closed := before[incarnation] && !t.open[incarnation]
		forgotten := m.Suspect && !t.open[incarnation] && now.Sub(m.lastHeard) > forgetAfter
		if closed || forgotten {
			t.remove(Gone, incarnation)
		}
	}
}

// superseded reports whether another incarnation that the log doesn't show yet answers at
// the node's address, as when the log lags. Adding the node would remove the incarnation
// that answers, which is never admitted again, and this node would hand out one address
// too few.
func (t *Table) superseded(node *recordv1.NodeInfo) bool {
	for incarnation, m := range t.members {
		if m.Node.GetPeerAddress() == node.GetPeerAddress() {
			return !m.Suspect && !t.open[incarnation]
		}
	}
	return false
}

func (t *Table) remove(kind ChangeKind, incarnation string) {
	delete(t.byID, memberID(t.members[incarnation].Node))
	delete(t.members, incarnation)
	t.recordChange(kind, incarnation)
	t.ended[incarnation] = true
	t.tombstones = append(t.tombstones, incarnation)
	if len(t.tombstones) > maxTombstones {
		delete(t.ended, t.tombstones[0])
		t.tombstones = t.tombstones[1:]
	}
}

// add adds a member that has not answered yet. It replaces an earlier incarnation at
// the same address, since only one process can hold the address.
func (t *Table) add(now time.Time, node *recordv1.NodeInfo) *Member {
	for incarnation, m := range t.members {
		if m.Node.GetPeerAddress() == node.GetPeerAddress() {
			t.remove(Replaced, incarnation)
		}
	}
	m := &Member{Node: node, Suspect: true, lastHeard: now}
	t.members[node.GetIncarnation()] = m
	t.byID[memberID(node)] = m
	return m
}

// NodesAdded reports whether the log opened a node since the last call.
func (t *Table) NodesAdded() bool {
	added := t.nodesAdded
	t.nodesAdded = false
	return added
}

// HasAddress reports whether a member has the peer address.
func (t *Table) HasAddress(address string) bool {
	for _, m := range t.members {
		if m.Node.GetPeerAddress() == address {
			return true
		}
	}
	return false
}

// Beat returns the version of this node's own view.
func (t *Table) Beat() uint64 { return t.beat }

// IncrementBeat makes this node's own view supersede all earlier ones.
func (t *Table) IncrementBeat() { t.beat++ }

// Suspects reports whether a node is suspected or isn't a member.
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
