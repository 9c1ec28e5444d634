package membership

import (
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// Member is what this node knows of another one.
type Member struct {
	Node     *recordv1.NodeInfo
	Draining bool
	// Suspect is set while the node answers neither this one nor those asked to try.
	Suspect bool
	// Damped is set while a node that came and went is not trusted yet.
	Damped   bool
	InFlight uint32
	// ConfigOffset is the highest offset that the node said it had folded.
	ConfigOffset uint64

	beat uint64
	// private marks a suspicion of a node that may itself be cut off.
	private bool
	// heard is when the node itself answered last.
	heard time.Time
	// flaps counts returns from suspicion, settles is when the last one is trusted.
	flaps   int
	settles time.Time
	// news is how many more messages carry what changed about the node.
	news int
}

// Usable tells whether callers may be sent to the node.
func (m Member) Usable() bool { return !m.Draining && !m.Suspect && !m.Damped }

func (m *Member) view() *fleetv1.PeerView {
	return &fleetv1.PeerView{Node: m.Node, Beat: m.beat, Draining: m.Draining, InFlight: m.InFlight,
		ConfigOffset: m.ConfigOffset, Suspect: m.Suspect}
}
