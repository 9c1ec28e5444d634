package edgenode

import (
	"time"

	"lavenderpin.dev/lavenderpin/allotment"
	"lavenderpin.dev/lavenderpin/bodybuffer"
	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gateway"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/linkload"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/reach"
	"lavenderpin.dev/lavenderpin/repeats"
	"lavenderpin.dev/lavenderpin/streamorigin"
)

// Settings are the settings of one node.
type Settings struct {
	Node        string
	Incarnation string
	// Start holds the clock readings taken when the process started.
	Start   prepaid.ProcessStart
	Address string
	// Peer is the address that other nodes connect to.
	Peer string
	// Capacity is the capacity of the instance, in hundredths of a standard instance.
	Capacity   int
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	Repeats repeats.Limits
	// WarmupOverage times its rate plus WarmupSlack is how many requests a cold upstream bears in any second.
	WarmupOverage, WarmupSlack float64
}

// Topics are the store's topics that hold the fleet's records.
type Topics struct {
	// Operators and Upstreams are written by other systems.
	Operators, Upstreams keyedlog.Topic
	// Presence, Spend, Ledger and Grants are written by the fleet.
	Presence, Ledger, Grants keyedlog.Topic
	Spend                    allotment.Partitions
	// Streams holds where streams began; see package streamorigin.
	Streams keyedlog.Topic
	// Crashes holds which upstreams crashed under which requests; see package quarantine.
	Crashes keyedlog.Topic
	// Blocks holds which parts of prompts are blocked.
	Blocks keyedlog.Topic
}

// Deps are the dependencies of a node.
type Deps struct {
	Clock bootclock.Clock
	// WallClock is the instance's wall clock.
	WallClock prepaid.WallClock
	Topics    Topics
	Upstreams gateway.Upstreams
	// Paths opens the connections to upstreams, for this node and for others; if it is nil, the node
	// doesn't relay.
	Paths *reach.Dialer
	// Lag returns how long what the process could do waits for a processor; nil if that isn't measured.
	Lag func() time.Duration
	// LinkDelay returns how long messages of this node wait on its link; nil if that isn't measured.
	LinkDelay func() time.Duration
	// LinkAdmission refuses requests while the node's link is crowded, LinkState returns what is measured of it; nil if no
	// request is refused for that.
	LinkAdmission *linkload.Admission
	LinkState     func() linkload.Link
	// Crowded reports whether callers ask more of this node than its link or processor carries; nil if nobody is told.
	Crowded func() bool
	// Bodies holds the bodies of upstreams' responses; a pool of the default size if nil.
	Bodies *bodybuffer.Pool
	// Lending sends lending requests to other nodes.
	Lending lending.Transport
	// Crashes tells other nodes which upstreams crashed under which requests; if it is nil, each node counts for itself.
	Crashes quarantine.Transport
	// Origins asks other nodes where streams began.
	Origins streamorigin.Transport
	// Peers fetches records from nodes of the same data centre; if it is nil, the node reads
	// everything from the store.
	Peers   peerfetch.Transport
	Events  *event.Recorder
	Metrics *gateway.Metrics
	// DecodeConfig decodes a configuration; it returns false if the record isn't one.
	DecodeConfig func(key string, raw []byte) (*catalog.View, bool, error)
	// DecodeEvacuation returns the data centre that a record of the operators' topic asks to evacuate, by its key;
	// false if the record is another one.
	DecodeEvacuation func(key string) (dataCentre string, ok bool)
	// DecodeUpstream decodes an upstream's entry.
	DecodeUpstream func(id string, raw []byte) (directory.Entry, error)
}
