package node

import (
	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Deps is what a node reaches the world through.
type Deps struct {
	Clock     clockwork.Clock
	Log       ports.Log
	Instances ports.InstanceList
	Weights   ports.WeightStore
	Peers     peer.Caller
	Upstreams upstream.Client
	Logger    log.Logger
	// NewIncarnation returns a name that no node ever had.
	NewIncarnation func() string
}
