package edgenode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/allotment"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gateway"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/presence"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/streamorigin"
)

// Node is a running node.
type Node struct {
	settings Settings
	deps     Deps

	catalog   *catalog.Holder
	directory *directory.Table
	roster    *presence.Roster
	share     *prepaid.Share
	// reporter is nil until the records of earlier incarnations have been read.
	reporter  atomic.Pointer[allotment.Reporter]
	gateway   *gateway.Gateway
	grants    *allotment.GrantHandler
	lender    *lending.Lender
	announcer *announcer
	origins   *streamorigin.Registry
	// ramps is what the node knows for the start of ramps; nil until the first pass over the upstreams.
	ramps atomic.Pointer[rampView]

	quarantine *quarantine.Guard
	// spreader tells other nodes; nil if nothing does.
	spreader *quarantine.Spreader

	startedAt time.Duration
	// minWriteLatency is the lowest latency of writing a record; zero before the first write.
	minWriteLatency atomic.Int64
	leaving         atomic.Bool
	refusing        atomic.Bool
	// idle is true if the node has started and its share isn't in use.
	idle atomic.Bool
	// grantsWanted holds an element if a request needs tokens while the node doesn't follow the
	// grants.
	grantsWanted chan struct{}
	// readMonitors hold the read statistics of each topic.
	readMonitors []*readMonitor
	// firstRosterRead is closed once the first read of the nodes' records has succeeded or
	// failed.
	firstRosterRead chan struct{}
	// copies hold the newest records of topics, by name, for other nodes of the data centre.
	copies map[string]*peerfetch.Replica
	loops  sync.WaitGroup
	// stop ends the loops.
	stop context.CancelFunc
}

// Start starts the node's loops. It doesn't wait for the store, so that plain services, which
// need no tokens, are served as soon as a configuration is known. On a small instance it returns
// after a pause; until then nothing listens, and callers' connections are refused at once so
// that they try other nodes.
func Start(ctx context.Context, settings Settings, deps Deps) (*Node, error) {
	n := &Node{settings: settings, deps: deps, catalog: &catalog.Holder{}, firstRosterRead: make(chan struct{}), grantsWanted: make(chan struct{}, 1),
		directory: directory.NewTable(deps.Clock), roster: presence.NewRoster(deps.Clock), startedAt: deps.Clock.Now()}
	n.copies = map[string]*peerfetch.Replica{configTopic: peerfetch.NewReplica(deps.Clock), upstreamTopic: peerfetch.NewReplica(deps.Clock)}
	if settings.Capacity < smallCapacity {
		periodic.Sleep(ctx, rand.N(maxSmallStartDelay))
	}
	clocks := prepaid.Clocks{Boot: deps.Clock, Wall: deps.WallClock}
	holder := prepaid.Holder{Node: settings.Node, Region: settings.Region, Capacity: settings.Capacity, Incarnation: settings.Incarnation, BootID: settings.Start.BootID, Listed: n.isListed}
	n.share = prepaid.NewShare(prepaid.DefaultSettings(), clocks, holder)
	n.directory.FirstOpen = n.firstOpen
	n.directory.Warmup = (*warmupPolicy)(n)
	n.directory.Ramp = n.rampStart
	n.directory.OnDropped = n.logDropped
	n.origins = n.newOrigins()
	n.quarantine, n.spreader = n.newQuarantine()
	loopsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stop = stop
	n.startFollower(loopsCtx, n.operatorsTopic(), newConfigHandler(n), configReadOptions)
	upstreamOptions := upstreamReadOptions
	upstreamOptions.ExtraPause = n.idleExtraPause
	n.startFollower(loopsCtx, n.upstreamsTopic(), &upstreamHandler{n, n.newReadMonitor("upstreams")}, upstreamOptions)
	presenceOptions := presenceReadOptions
	presenceOptions.ExtraPause = n.presenceExtraPause
	n.startFollower(loopsCtx, deps.Topics.Presence, &presenceHandler{node: n, monitor: n.newReadMonitor("presence")}, presenceOptions)
	n.announcer = &announcer{node: n}
	n.grants = allotment.NewGrantHandler(n.share, settings.Node, deps.Events)
	n.lender = lending.NewLender(n.share, deps.Clock, n.report)
	picker := placement.NewPicker(placement.DefaultSettings(), settings.Regions)
	picker.IsRelayed = n.isRelayed
	n.gateway = gateway.New(gateway.DefaultSettings(), gateway.Deps{
		Clock: deps.Clock, Catalog: n.catalog, Directory: n.directory,
		Picker: picker,
		Share:  n.share, Upstreams: deps.Upstreams, Events: deps.Events, Metrics: deps.Metrics, Origins: n.origins, Quarantine: n.quarantine,
		Borrower:    lending.NewBorrower(deps.Lending, deps.Clock, settings.Incarnation, n.lenders),
		AwaitTokens: n.awaitTokens, ReportUsage: n.report, LiveNodes: n.nodeCount, Senders: n.senders, SendPart: n.sendPart, RampStart: n.rampStart, AwaitReachable: n.awaitReachable, Lag: deps.Lag, LinkDelay: deps.LinkDelay, LinkAdmission: deps.LinkAdmission, LinkState: deps.LinkState, RetryLimits: settings.Repeats, Bodies: deps.Bodies,
		DataCentre: settings.DataCentre, Region: settings.Region, Regions: settings.Regions,
	})
	grantOptions := grantReadOptions
	grantOptions.ExtraPause, grantOptions.Await = n.grantExtraPause, n.awaitGrantNeed
	n.startFollower(loopsCtx, deps.Topics.Grants, n.grants, grantOptions)
	n.startLoop(loopsCtx, n.expireLoans)
	n.startLoop(loopsCtx, n.watchContact)
	n.startLoop(loopsCtx, n.adjustLimits)
	n.startLoop(loopsCtx, n.watchRamps)
	if deps.Paths != nil {
		n.startLoop(loopsCtx, func(ctx context.Context) { deps.Paths.Run(ctx, (*pathNode)(n)) })
	}
	n.startLoop(loopsCtx, n.runReporter)
	n.startLoop(loopsCtx, n.announcer.run)
	n.startLoop(loopsCtx, n.origins.Run)
	n.startQuarantine(loopsCtx)
	topics := allotment.Topics{Spend: deps.Topics.Spend, Ledger: deps.Topics.Ledger, Grants: deps.Topics.Grants}
	n.startLoop(loopsCtx, allotment.NewPlanner(topics, (*fleet)(n), prepaid.DefaultSettings(), deps.Events).Run)
	return n, nil
}

// A small instance waits before it reads its initial state. When all nodes recover from a fault
// at once, those far from the store share one link for these reads, and the large nodes, which
// callers are sent to, must not queue behind many times as many small ones. The delay is about
// the measured time in which a region's nodes complete all of these reads.
const (
	// Instances below smallCapacity are small, in hundredths of a standard instance.
	smallCapacity      = 50
	maxSmallStartDelay = 2 * time.Second
)

func (n *Node) startFollower(ctx context.Context, topic keyedlog.Topic, handler keyedlog.Handler, options keyedlog.Options) {
	n.startLoop(ctx, keyedlog.NewFollower(topic, handler, options).Run)
}

func (n *Node) startLoop(ctx context.Context, loop func(context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		loop(ctx)
	}()
}

// Gateway returns the gateway that serves requests.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Catalog returns the holder of the current configuration.
func (n *Node) Catalog() *catalog.Holder { return n.catalog }

// firstGrantTimeout is how long a new node waits for its first grant before it accepts callers
// anyway: plain services need no grant.
const firstGrantTimeout = 4 * time.Second

// Ready reports whether the node accepts new callers.
func (n *Node) Ready() bool {
	view := n.catalog.Current()
	if view == nil || n.leaving.Load() {
		return false
	}
	return n.share.Granted() || n.deps.Clock.Now()-n.startedAt > firstGrantTimeout
}

// Leaving reports whether the node is about to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Refusing reports whether the node refuses all requests.
func (n *Node) Refusing() bool { return n.refusing.Load() }

// Addresses returns the addresses that callers in a region should connect to. The node includes
// itself while it is ready, even if the store is unreachable.
func (n *Node) Addresses(region string) []string {
	live := slices.Clone(n.roster.Live())
	included := false
	for i := range live {
		if live[i].Node == n.settings.Node {
			live[i].Ready, live[i].PathsLost, live[i].Crowded = n.Ready(), n.pathsLost(), n.isCrowded()
			included = true
		}
	}
	if !included {
		live = append(live, n.presenceRecord())
	}
	addresses := presence.Addresses(live, region)
	n.deps.Events.Record(event.AddressesHandedOut, "region", region, "live", len(live), "named", len(addresses))
	return addresses
}

// nodeCount returns how many nodes are serving.
func (n *Node) nodeCount() int { return max(1, len(n.roster.Live())) }

// senders returns how many nodes callers are sent to.
func (n *Node) senders() int { return max(1, n.roster.ListedCount()) }

// presenceRecord returns the node's own presence record.
func (n *Node) presenceRecord() presence.Record {
	return presence.Record{Node: n.settings.Node, Incarnation: n.settings.Incarnation, Address: n.settings.Address, PeerAddress: n.settings.Peer,
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, Capacity: n.settings.Capacity, StoreWriteMs: n.storeLatencyMs(),
		Ready: n.Ready(), Leaving: n.leaving.Load(), PathsLost: n.pathsLost(), Crowded: n.isCrowded()}
}

// isCrowded reports whether callers ask more of this node than it carries.
func (n *Node) isCrowded() bool { return n.deps.Crowded != nil && n.deps.Crowded() }
