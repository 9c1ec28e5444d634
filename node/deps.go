package node

import (
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/reach"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Deps holds a node's external dependencies.
type Deps struct {
	Clock     clockwork.Clock
	Log       ports.Log
	Instances ports.InstanceList
	Weights   ports.WeightStore
	Peers     peer.Caller
	Upstreams upstream.Client
	// Paths opens the connections of Upstreams, and those to upstreams for other nodes; nil if the
	// node doesn't relay.
	Paths *reach.Dialer
	// QueueDelay returns how long a request waits at this node in queues that it doesn't see; nil if that isn't measured.
	QueueDelay func() time.Duration
	Logger     log.Logger
	// NewIncarnation returns a unique name that no node has ever had.
	NewIncarnation func() string
}
