package membership

import fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"

// viewFormat selects how a message describes its sender.
type viewFormat int

const (
	// compactFormat identifies the sender by its member ID once it is open in the log.
	compactFormat viewFormat = iota
	fullFormat
	// introductionFormat is fullFormat plus the views of all other members, for a newcomer.
	introductionFormat
)

// messageViews returns the views for the next message, this node's own first.
func (m *Members) messageViews(format viewFormat) []*fleetv1.PeerView {
	// Read the beat before the state: the other way round, a change in between would send
	// the old state under the new beat, and the new state would never be applied.
	m.mu.Lock()
	beat := m.table.Beat()
	m.mu.Unlock()
	own := m.selfView()
	own.Beat = beat
	m.mu.Lock()
	defer m.mu.Unlock()
	if format == compactFormat {
		own = m.table.compact(own)
	}
	if format == introductionFormat {
		return append([]*fleetv1.PeerView{own}, m.table.Introduction()...)
	}
	return append([]*fleetv1.PeerView{own}, m.table.Views()...)
}

func pingRequest(views []*fleetv1.PeerView) *fleetv1.Request {
	return &fleetv1.Request{Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: views}}}
}
