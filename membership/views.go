package membership

import (
	"math/bits"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

const (
	// retransmitFactor times the logarithm of the fleet size is how often an update is sent.
	retransmitFactor = 2
	// maxFullIntroduction is the largest number of members whose addresses a newcomer is sent.
	maxFullIntroduction = 32
	// maxUpdates and maxLoadViews bound the number of views in a message.
	maxUpdates   = 6
	maxLoadViews = 2
)

// retransmitLimit returns how many messages carry an update.
func (t *Table) retransmitLimit() int { return retransmitFactor * (bits.Len(uint(len(t.members))) + 1) }

// Views returns the views for the next message besides the node's own: pending updates
// and, round-robin, the load of a few members by member ID only.
func (t *Table) Views() []*fleetv1.PeerView {
	ring := t.ring()
	var views []*fleetv1.PeerView
	for _, node := range ring {
		m := t.members[node.GetIncarnation()]
		if m.retransmits > 0 && len(views) < maxUpdates {
			m.retransmits--
			views = append(views, t.compact(m.peerView()))
		}
	}
	for range min(maxLoadViews, len(ring)) {
		t.loadTurn++
		m := t.members[ring[t.loadTurn%len(ring)].GetIncarnation()]
		if m.localSuspicion || m.beat == 0 {
			continue
		}
		view := m.peerView()
		view.Node, view.Member = nil, memberID(m.Node)
		views = append(views, view)
	}
	return views
}

// Introduction returns the views of all members that answer, for a newcomer. It includes
// their addresses unless the fleet is so large that the newcomer must get them from the log.
func (t *Table) Introduction() []*fleetv1.PeerView {
	var views []*fleetv1.PeerView
	for _, m := range t.members {
		if m.Suspect {
			continue
		}
		view := m.peerView()
		if len(t.members) > maxFullIntroduction {
			view.Node, view.Member = nil, memberID(m.Node)
		}
		views = append(views, view)
	}
	return views
}

// IsNewcomer reports whether a sender is unknown or suspected.
func (t *Table) IsNewcomer(sender string) bool {
	m := t.members[sender]
	return m == nil || m.Suspect
}
