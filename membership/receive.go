package membership

import (
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// directAnswerPriority is how long a member's own answer outweighs suspicions by others.
	directAnswerPriority = 3 * time.Second
)

// ApplyViews applies the views of a message from sender, the sender's own view first.
// It reports whether any of them is an update to push at once. Views whose member ID is
// unknown here are ignored.
func (t *Table) ApplyViews(now time.Time, sender string, views []*fleetv1.PeerView) bool {
	urgent := false
	for _, view := range views {
		node := t.resolveNode(view)
		if node == nil {
			continue
		}
		switch node.GetIncarnation() {
		case t.self.GetIncarnation():
			urgent = t.refute(view) || urgent
		case sender:
			urgent = t.applyDirect(now, node, view) || urgent
		default:
			urgent = t.applyIndirect(now, node, view) || urgent
		}
	}
	return urgent
}

// refute answers a suspicion of this node by raising its beat.
func (t *Table) refute(view *fleetv1.PeerView) bool {
	if !view.GetSuspect() || view.GetBeat() < t.beat {
		return false
	}
	t.beat = view.GetBeat() + 1
	return true
}

// applyDirect applies a member's view of itself.
func (t *Table) applyDirect(now time.Time, node *recordv1.NodeInfo, view *fleetv1.PeerView) bool {
	m := t.members[node.GetIncarnation()]
	if m == nil {
		if !t.admits(node) {
			return false
		}
		m = t.add(now, node)
	}
	t.lastAnswer = now
	m.lastHeard = now
	m.InFlight = view.GetInFlight()
	m.ConfigOffset = max(m.ConfigOffset, view.GetConfigOffset())
	urgent := t.applyOwnState(m, view)
	m.beat = max(m.beat, view.GetBeat())
	if m.Suspect {
		t.clearSuspicion(now, m)
		urgent = true
	}
	if urgent {
		m.retransmits = t.retransmitLimit()
	}
	return urgent
}

// applyIndirect applies one member's view of another.
func (t *Table) applyIndirect(now time.Time, node *recordv1.NodeInfo, view *fleetv1.PeerView) bool {
	m := t.members[node.GetIncarnation()]
	if m == nil && !view.GetSuspect() && t.admitsIndirect(node) {
		m = t.add(now, node)
	}
	if m == nil || view.GetBeat() < m.beat {
		return false
	}
	m.ConfigOffset = max(m.ConfigOffset, view.GetConfigOffset())
	if now.Sub(m.lastHeard) > directAnswerPriority {
		m.InFlight = view.GetInFlight()
	}
	urgent := t.applyOwnState(m, view)
	switch {
	case view.GetSuspect() && !m.Suspect && now.Sub(m.lastHeard) > directAnswerPriority:
		t.suspect(m)
		urgent = true
	case !view.GetSuspect() && m.Suspect && (view.GetBeat() > m.beat || m.localSuspicion):
		t.clearSuspicion(now, m)
		urgent = true
	}
	m.beat = view.GetBeat()
	if urgent {
		m.retransmits = t.retransmitLimit()
	}
	return urgent
}

// applyOwnState applies a change of what a member says of itself, if it has a higher beat.
func (t *Table) applyOwnState(m *Member, view *fleetv1.PeerView) bool {
	if view.GetBeat() <= m.beat || view.GetDraining() == m.Draining && view.GetPathsLost() == m.PathsLost {
		return false
	}
	m.Draining, m.PathsLost = view.GetDraining(), view.GetPathsLost()
	return true
}

// admitsIndirect reports whether a node known only through others may be added: its
// address must be free, since an indirect view doesn't show which of two nodes is newer.
func (t *Table) admitsIndirect(node *recordv1.NodeInfo) bool {
	return t.admits(node) && !t.HasAddress(node.GetPeerAddress())
}

// admits reports whether a node isn't this one and hasn't ended.
func (t *Table) admits(node *recordv1.NodeInfo) bool {
	address := node.GetPeerAddress()
	return address != "" && address != t.self.GetPeerAddress() && !t.ended[node.GetIncarnation()]
}
