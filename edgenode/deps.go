package edgenode

import (
	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gateway"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/repeats"
)

// Settings are one node's own.
type Settings struct {
	Node        string
	Incarnation string
	// Start is what the process read of the clocks when it began.
	Start   prepaid.ProcessStart
	Address string
	// Peer is where other nodes connect.
	Peer string
	// Capacity is what the instance can carry, in hundredths of a usual one.
	Capacity   int
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	Repeats repeats.Limits
}

// Topics are where the fleet's records stand in the store.
type Topics struct {
	// Operators and Upstreams are written by others.
	Operators, Upstreams keyedlog.Topic
	// Presence, Spend, Ledger and Grants are the fleet's own.
	Presence, Spend, Ledger, Grants keyedlog.Topic
}

// Deps are what a node works with.
type Deps struct {
	Clock bootclock.Clock
	// WallClock is the instance's time of day.
	WallClock prepaid.WallClock
	Topics    Topics
	Upstreams gateway.Upstreams
	// Lending carries asks to other nodes.
	Lending lending.Transport
	// Peers carries asks for records to nodes of the data centre; nil lets the node read
	// everything from the store.
	Peers   peerfetch.Transport
	Events  *event.Recorder
	Metrics *gateway.Metrics
	// DecodeConfig reads a configuration; false tells that the record is none.
	DecodeConfig func(key string, raw []byte) (*catalog.View, bool, error)
	// DecodeUpstream reads an upstream's entry.
	DecodeUpstream func(id string, raw []byte) (directory.Entry, error)
}
