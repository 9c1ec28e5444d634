package membership

import (
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// trustDirect is how long an own answer outweighs what others suspect.
	trustDirect = 3 * time.Second
)

// ApplyViews takes in the views of a message that sender itself sent, its own view first.
// It returns whether any of it is news to pass on at once. A view of a member that
// isn't known here, and is only named by its number, says nothing.
func (t *Table) ApplyViews(now time.Time, sender string, views []*fleetv1.PeerView) bool {
	urgent := false
	for _, view := range views {
		node := t.nodeOf(view)
		if node == nil {
			continue
		}
		switch node.GetIncarnation() {
		case t.self.GetIncarnation():
			urgent = t.refute(view) || urgent
		case sender:
			urgent = t.direct(now, node, view) || urgent
		default:
			urgent = t.told(now, node, view) || urgent
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
func (t *Table) direct(now time.Time, node *recordv1.NodeInfo, view *fleetv1.PeerView) bool {
	m := t.members[node.GetIncarnation()]
	if m == nil {
		if !t.admits(node) {
			return false
		}
		m = t.add(now, node)
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
func (t *Table) told(now time.Time, node *recordv1.NodeInfo, view *fleetv1.PeerView) bool {
	m := t.members[node.GetIncarnation()]
	if m == nil && !view.GetSuspect() && t.unheardOf(node) {
		m = t.add(now, node)
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
	return t.admits(node) && !t.HasAddress(node.GetPeerAddress())
}

// admits tells whether a node can be another one than this, and hasn't ended.
func (t *Table) admits(node *recordv1.NodeInfo) bool {
	address := node.GetPeerAddress()
	return address != "" && address != t.self.GetPeerAddress() && !t.ended[node.GetIncarnation()]
}
