package membership

import (
	"math/bits"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

const (
	// newsSpread is how often news is passed on, times the logarithm of the fleet.
	newsSpread = 2
	// maxIntroduced is up to how many members a newcomer is told addresses of.
	maxIntroduced = 32
	// maxNews and maxFill bound the views in a message.
	maxNews = 6
	maxFill = 2
)

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
			views = append(views, t.shorten(m.view()))
		}
	}
	for range min(maxFill, len(ring)) {
		t.fill++
		m := t.members[ring[t.fill%len(ring)].GetIncarnation()]
		if m.private || m.beat == 0 {
			continue
		}
		view := m.view()
		view.Node, view.Member = nil, numberOf(m.Node)
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
			view.Node, view.Member = nil, numberOf(m.Node)
		}
		views = append(views, view)
	}
	return views
}

// IsNewcomer tells whether a sender isn't known as answering.
func (t *Table) IsNewcomer(sender string) bool {
	m := t.members[sender]
	return m == nil || m.Suspect
}
