package membership

import fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"

// saying is how a message describes its sender.
type saying int

const (
	// short names the sender by its number once the log holds it open.
	short saying = iota
	writtenOut
	// introducing tells a newcomer of all others besides.
	introducing
)

// say returns the views of the next message, this node's own first.
func (m *Members) say(how saying) []*fleetv1.PeerView {
	// The beat is read first: were it read after the state, a change in between
	// would send the old state under the new beat, and the new one would never count.
	m.mu.Lock()
	beat := m.table.Beat()
	m.mu.Unlock()
	own := m.view()
	own.Beat = beat
	m.mu.Lock()
	defer m.mu.Unlock()
	if how == short {
		own = m.table.shorten(own)
	}
	if how == introducing {
		return append([]*fleetv1.PeerView{own}, m.table.Introduction()...)
	}
	return append([]*fleetv1.PeerView{own}, m.table.Views()...)
}

func pingOf(views []*fleetv1.PeerView) *fleetv1.Request {
	return &fleetv1.Request{Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: views}}}
}
