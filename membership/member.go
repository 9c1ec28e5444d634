package membership

import (
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// Member is this node's view of another node.
type Member struct {
	Node     *recordv1.NodeInfo
	Draining bool
	// Suspect is set while the node answers neither direct nor indirect pings.
	Suspect bool
	// Damped is set while a flapping node is kept out of the addresses.
	Damped bool
	// PathsLost is set while the node reaches most upstreams only through other nodes.
	PathsLost bool
	InFlight  uint32
	// ConfigOffset is the highest offset that the node reported as folded.
	ConfigOffset uint64

	// beat is the version of the node's view of itself.
	beat uint64
	// localSuspicion is set when this node may itself be cut off, so the suspicion isn't gossiped.
	localSuspicion bool
	// lastHeard is when the node itself last answered.
	lastHeard time.Time
	// flaps counts recoveries from suspicion; damping after the last one ends at dampedUntil.
	flaps       int
	dampedUntil time.Time
	// retransmits is how many more messages carry the member's latest update.
	retransmits int
}

// Usable reports whether callers may be sent to the node.
func (m Member) Usable() bool { return !m.Draining && !m.Suspect && !m.Damped }

func (m *Member) peerView() *fleetv1.PeerView {
	return &fleetv1.PeerView{Node: m.Node, Beat: m.beat, Draining: m.Draining, InFlight: m.InFlight,
		ConfigOffset: m.ConfigOffset, Suspect: m.Suspect, PathsLost: m.PathsLost}
}
