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
)

// Node is one running node.
type Node struct {
	settings Settings
	deps     Deps

	catalog   *catalog.Holder
	directory *directory.Table
	roster    *presence.Roster
	share     *prepaid.Share
	// reporter is nil until it is known what earlier incarnations left.
	reporter  atomic.Pointer[allotment.Reporter]
	gateway   *gateway.Gateway
	grants    *allotment.GrantHandler
	lender    *lending.Lender
	announcer *announcer

	begun time.Duration
	// fastestWrite is the shortest time that a record's writing took; zero before the first.
	fastestWrite atomic.Int64
	leaving      atomic.Bool
	refusing     atomic.Bool
	// quiet tells that nobody wants tokens of this node and that it holds none.
	quiet atomic.Bool
	// readings tells of each topic how it was last read.
	readings []*readingLog
	// rosterTried is closed once the first reading of the nodes' records has ended.
	rosterTried chan struct{}
	// copies holds the newest records of topics, by name, for nodes of the data centre.
	copies map[string]*peerfetch.Replica
	loops  sync.WaitGroup
	// stop ends the loops.
	stop context.CancelFunc
}

// Start starts the node's loops. Nothing in it waits for the store, so that plain services,
// which need no tokens, are served as soon as a configuration is known. On a small instance it
// returns after a pause, until which callers are told at once to go elsewhere: nobody listens.
func Start(ctx context.Context, settings Settings, deps Deps) (*Node, error) {
	n := &Node{settings: settings, deps: deps, catalog: &catalog.Holder{}, rosterTried: make(chan struct{}),
		directory: directory.NewTable(deps.Clock), roster: presence.NewRoster(deps.Clock), begun: deps.Clock.Now()}
	n.copies = map[string]*peerfetch.Replica{configTopic: peerfetch.NewReplica(deps.Clock), upstreamTopic: peerfetch.NewReplica(deps.Clock)}
	if settings.Capacity < smallCapacity {
		periodic.Pause(ctx, rand.N(smallStartDelay))
	}
	loops, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stop = stop
	n.follow(loops, n.operators(), &configHandler{n, n.logReadings("config")}, configPace)
	upstreams := upstreamPace
	upstreams.ExtraPause = n.quietExtra
	n.follow(loops, n.upstreams(), &upstreamHandler{n, n.logReadings("upstreams")}, upstreams)
	nodes := presencePace
	nodes.ExtraPause = n.presenceExtra
	n.follow(loops, deps.Topics.Presence, &presenceHandler{node: n, readings: n.logReadings("presence")}, nodes)
	clocks := prepaid.Clocks{Boot: deps.Clock, Wall: deps.WallClock}
	holder := prepaid.Holder{Node: settings.Node, Region: settings.Region, Capacity: settings.Capacity, Incarnation: settings.Incarnation, BootID: settings.Start.BootID}
	n.share = prepaid.NewShare(prepaid.DefaultSettings(), clocks, holder)
	n.announcer = &announcer{node: n}
	n.grants = allotment.NewGrantHandler(n.share, settings.Node, deps.Events)
	n.lender = lending.NewLender(n.share, deps.Clock, n.report)
	n.gateway = gateway.New(gateway.DefaultSettings(), gateway.Deps{
		Clock: deps.Clock, Catalog: n.catalog, Directory: n.directory,
		Picker: placement.NewPicker(placement.DefaultSettings(), settings.Regions),
		Share:  n.share, Upstreams: deps.Upstreams, Events: deps.Events, Metrics: deps.Metrics,
		Borrower:    lending.NewBorrower(deps.Lending, deps.Clock, settings.Incarnation, n.lenders),
		ReportUsage: n.report, LiveNodes: n.nodes, RetryLimits: settings.Repeats,
		DataCentre: settings.DataCentre, Region: settings.Region,
	})
	grants := grantPace
	grants.ExtraPause = n.grantExtra
	n.follow(loops, deps.Topics.Grants, n.grants, grants)
	n.run(loops, n.expireLoans)
	n.run(loops, n.reportOn)
	n.run(loops, n.announcer.run)
	topics := allotment.Topics{Spend: deps.Topics.Spend, Ledger: deps.Topics.Ledger, Grants: deps.Topics.Grants}
	n.run(loops, allotment.NewPlanner(topics, (*fleet)(n), prepaid.DefaultSettings(), deps.Events).Run)
	return n, nil
}

// A small instance waits before it reads what it needs. After a fault that all nodes come
// back from at once, those far from the store share one link for it, and the large ones,
// which callers are sent to, must not wait behind many times as many small ones. The delay
// is about what a region's nodes were seen to need for all of it.
const (
	// smallCapacity is below what counts as small, in hundredths of a usual instance.
	smallCapacity   = 50
	smallStartDelay = 2 * time.Second
)

func (n *Node) follow(ctx context.Context, topic keyedlog.Topic, handler keyedlog.Handler, pace keyedlog.Options) {
	n.run(ctx, keyedlog.NewFollower(topic, handler, pace).Run)
}

func (n *Node) run(ctx context.Context, loop func(context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		loop(ctx)
	}()
}

// Gateway returns what serves requests.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Catalog returns the configuration in force.
func (n *Node) Catalog() *catalog.Holder { return n.catalog }

// grantPatience is how long a new node waits for its first grant before it takes callers
// all the same: plain services need none.
const grantPatience = 4 * time.Second

// Ready tells whether the node takes new callers.
func (n *Node) Ready() bool {
	view := n.catalog.Current()
	if view == nil || n.leaving.Load() {
		return false
	}
	return n.share.Granted() || n.deps.Clock.Now()-n.begun > grantPatience
}

// Leaving tells that the node is about to end.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Refusing tells that the node takes no request any more.
func (n *Node) Refusing() bool { return n.refusing.Load() }

// Addresses returns where callers of a place should connect. The node names itself while
// it is ready, also when the store is out of reach.
func (n *Node) Addresses(region string) []string {
	live := slices.Clone(n.roster.Live())
	own := false
	for i := range live {
		if live[i].Node == n.settings.Node {
			live[i].Ready = n.Ready()
			own = true
		}
	}
	if !own {
		live = append(live, n.record())
	}
	addresses := presence.Addresses(live, region)
	n.deps.Events.Record(event.AddressesHandedOut, "region", region, "live", len(live), "named", len(addresses))
	return addresses
}

// nodes is how many nodes serve now.
func (n *Node) nodes() int { return max(1, len(n.roster.Live())) }

// record is what the node writes about itself.
func (n *Node) record() presence.Record {
	return presence.Record{Node: n.settings.Node, Incarnation: n.settings.Incarnation, Address: n.settings.Address, PeerAddress: n.settings.Peer,
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, Capacity: n.settings.Capacity, StoreWriteMs: n.storeMs(),
		Ready: n.Ready(), Leaving: n.leaving.Load()}
}
