package edgenode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/allotment"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gateway"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
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
	reporter  *allotment.Reporter
	gateway   *gateway.Gateway
	grants    *allotment.Grants
	lender    *lending.Lender
	announcer *announcer

	begun    time.Duration
	leaving  atomic.Bool
	refusing atomic.Bool
	// quiet tells that nobody wants tokens of this node and that it holds none.
	quiet atomic.Bool
	loops sync.WaitGroup
	// stop ends the loops.
	stop context.CancelFunc
}

// Start reads what earlier incarnations left and starts the node's loops. It waits for
// the store as long as ctx lasts: without what was left, spending could not be bounded.
func Start(ctx context.Context, settings Settings, deps Deps) (*Node, error) {
	n := &Node{settings: settings, deps: deps, catalog: &catalog.Holder{},
		directory: directory.NewTable(deps.Clock), roster: presence.NewRoster(deps.Clock), begun: deps.Clock.Now()}
	if settings.Capacity < smallCapacity {
		periodic.Pause(ctx, rand.N(smallStartDelay))
	}
	loops, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stop = stop
	n.follow(loops, deps.Topics.Operators, &configHandler{n}, configPace)
	upstreams := upstreamPace
	upstreams.Extra = n.quietExtra
	n.follow(loops, deps.Topics.Upstreams, &upstreamHandler{n}, upstreams)
	n.follow(loops, deps.Topics.Presence, &presenceHandler{node: n}, presencePace)
	earlier, err := n.readEarlier(ctx)
	if err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	clocks := prepaid.Clocks{Boot: deps.Clock, TimeOfDay: deps.TimeOfDay}
	holder := prepaid.Holder{Node: settings.Node, Region: settings.Region, Capacity: settings.Capacity, Incarnation: settings.Incarnation, BootID: settings.Start.BootID}
	n.share = prepaid.NewShare(prepaid.DefaultSettings(), clocks, holder, earlier.Closings)
	n.reporter = allotment.NewReporter(n.share, deps.Topics.Spend, settings.Node, settings.Incarnation, earlier.Keys, deps.Events)
	n.announcer = &announcer{node: n}
	n.grants = allotment.NewGrants(n.share, settings.Node, deps.Events)
	n.lender = lending.NewLender(n.share, deps.Clock, n.reporter.Report)
	n.gateway = gateway.New(gateway.DefaultSettings(), gateway.Deps{
		Clock: deps.Clock, Catalog: n.catalog, Directory: n.directory,
		Picker: placement.NewPicker(placement.DefaultSettings(), settings.Regions),
		Share:  n.share, Upstreams: deps.Upstreams, Events: deps.Events, Metrics: deps.Metrics,
		Borrower: lending.NewBorrower(deps.Lending, deps.Clock, settings.Incarnation, n.lenders),
		Report:   n.reporter.Report, Nodes: n.nodes, Repeats: settings.Repeats,
		DataCentre: settings.DataCentre, Region: settings.Region,
	})
	grants := grantPace
	grants.Extra = n.quietExtra
	n.follow(loops, deps.Topics.Grants, n.grants, grants)
	n.run(loops, n.expireLoans)
	n.run(loops, n.reporter.Run)
	n.run(loops, n.announcer.run)
	topics := allotment.Topics{Spend: deps.Topics.Spend, Ledger: deps.Topics.Ledger, Grants: deps.Topics.Grants}
	n.run(loops, allotment.NewDuty(topics, (*fleet)(n), prepaid.DefaultSettings(), deps.Events).Run)
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

// earlierTimeout bounds one attempt to read what earlier incarnations left, over a link
// that all nodes may share for it.
const earlierTimeout = 5 * time.Second

// earlierRetry is the pause between attempts to read what earlier incarnations left.
const earlierRetry = 200 * time.Millisecond

func (n *Node) readEarlier(ctx context.Context) (allotment.Earlier, error) {
	for {
		call, cancel := context.WithTimeout(ctx, earlierTimeout)
		earlier, err := allotment.ReadEarlier(call, n.deps.Topics.Spend, n.settings.Node, n.settings.Start, n.deps.TimeOfDay)
		cancel()
		if err == nil {
			return earlier, nil
		}
		n.deps.Events.Record(event.LogUnreachable, "topic", "spend", "error", err)
		select {
		case <-ctx.Done():
			return allotment.Earlier{}, errors.Trace(ctx.Err())
		case <-time.After(earlierRetry):
		}
	}
}

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
	live := n.roster.Live()
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
	return presence.Record{Node: n.settings.Node, Incarnation: n.settings.Incarnation, Address: n.settings.Address, Peer: n.settings.Peer, Capacity: n.settings.Capacity,
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, Ready: n.Ready(), Leaving: n.leaving.Load()}
}
