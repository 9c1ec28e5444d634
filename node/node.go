package node

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/qmuntal/stateless"
	"google.golang.org/protobuf/proto"

	"lavenderpin.dev/lavenderpin/admission"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/lease"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/record"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/relay"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/snapshot"
)

// ErrClosed tells that the fleet closed the node's incarnation. The daemon starts
// a new one in its place.
var ErrClosed = errors.New("the fleet closed this incarnation")

// Node is one incarnation of a node.
type Node struct {
	settings Settings
	deps     Deps
	info     *recordv1.NodeInfo

	events     *event.Recorder
	kept       *event.Archive
	lifecycle  *stateless.StateMachine
	config     *config.State
	watchers   *watchers
	ledger     *budget.Ledger
	holder     *budget.ShareHolder
	budgets    budgets
	writer     *recordlog.Writer
	gatherer   *gather.Gatherer
	appender   *gather.Appender
	forms      atomic.Pointer[formsFound]
	follower   *recordlog.Follower
	leaseTable *lease.Table
	leases     *lease.Manager
	members    *membership.Members
	instances  *membership.Instances
	remaining  stayingLists
	relay      *relay.Server
	snapshots  *snapshot.Tracker
	requests   *request.Server
	balancer   *routing.Balancer
	admission  *admission.Controller
	claims     *idempotency.Claims
	metrics    *expvar.Map

	closed chan struct{}
	// outrun is closed when the state was restored under a node that served.
	outrun     chan struct{}
	outrunOnce sync.Once
	closing    atomic.Bool
	drained    chan struct{}
	draining   atomic.Bool
}

// New assembles a node; Run brings it to life.
func New(settings Settings, deps Deps) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{settings: settings, deps: deps, watchers: newWatchers(), closed: make(chan struct{}), outrun: make(chan struct{}), drained: make(chan struct{})}
	n.info = &recordv1.NodeInfo{
		Incarnation:     deps.NewIncarnation(),
		PeerAddress:     settings.PeerAddress,
		HttpAddress:     settings.HTTPAddress,
		OperatorAddress: settings.OperatorAddress,
		Region:          settings.Region,
		DataCentre:      settings.DataCentre,
		RecordForms:     record.SupportedForms,
	}
	hlc := event.NewHLC(deps.Clock)
	n.events = event.NewRecorder(hlc, n.info.GetIncarnation(), settings.EventCapacity, deps.Logger)
	n.kept = event.NewArchive(max(1, settings.EventCapacity/keptShare))
	n.lifecycle = newLifecycle(n.events)
	n.config = config.NewState(n.configInForce)
	n.ledger = budget.NewLedger()
	n.holder = budget.NewShareHolder(n.info.GetIncarnation(), deps.Clock)
	n.writer = recordlog.NewWriter(deps.Log, settings.Stream, n.info.GetIncarnation(), deps.Clock, hlc, settings.BatchDelay)
	n.writer.AddSource(n.settlements)
	n.leaseTable = lease.NewTable()
	n.leases = lease.NewManager(n.info.GetIncarnation(), settings.LeaseTerm, n.leaseTable, n.writer, deps.Clock, n.events)
	n.claims = idempotency.NewClaims(idempotency.DefaultLimits())
	engine := fold.NewEngine(n.config, n.ledger, n.leaseTable, n.claims)
	n.newMembership()
	n.gatherAppends()
	n.newFollower(engine)
	n.budgets = n.newBudgets()
	n.balancer = n.newBalancer()
	n.admission = n.newAdmission()
	n.requests = &request.Server{
		Config: n.config.View, Reserver: n.budgets.reserver, Picker: n.balancer, Admission: n.admission,
		Client: deps.Upstreams, Events: n.events, Clock: deps.Clock, Region: settings.Region,
		ExcludeLeaving: n.staying,
	}
	n.nameRequests()
	n.metrics = n.newMetrics()
	return n, nil
}

// Incarnation returns the node's name, which no other run ever has.
func (n *Node) Incarnation() string { return n.info.GetIncarnation() }

// Info returns how others reach the node.
func (n *Node) Info() *recordv1.NodeInfo { return n.info }

// Requests returns the server that runs callers' requests.
func (n *Node) Requests() *request.Server { return n.requests }

// Events returns the node's event recorder.
func (n *Node) Events() *event.Recorder { return n.events }

// Ledger returns the budgets as this node folds them.
func (n *Node) Ledger() *budget.Ledger { return n.ledger }

// Config returns the configuration in force on this node.
func (n *Node) Config() *config.View { return n.config.View() }

// AppliedOffset returns the highest log offset that this node has folded.
func (n *Node) AppliedOffset() uint64 { return n.follower.Offset() }

// Metrics returns the node's map; only daemons publish it.
func (n *Node) Metrics() *expvar.Map { return n.metrics }

// Settings returns what the node was told.
func (n *Node) Settings() Settings { return n.settings }

// Leases returns the leases that this node holds or wants.
func (n *Node) Leases() lease.Holder { return n.leases }

// LogWriter returns the node's writer to the log.
func (n *Node) LogWriter() *recordlog.Writer { return n.writer }

// State returns where the node is in its life.
func (n *Node) State() State { return n.lifecycle.MustState().(State) }

// Closed is closed once the fleet closed the incarnation.
func (n *Node) Closed() <-chan struct{} { return n.closed }

// Run lives until ctx ends, which is an abrupt end, or until the fleet closes the
// incarnation, which fails with ErrClosed.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.events.Record(event.NodeStarting, "region", n.settings.Region, "data_centre", n.settings.DataCentre)
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){n.writer.Run, n.gatherer.Run, n.follower.Run, n.heartbeats, n.members.Run, n.leases.Run, n.flushSettlements, n.orders().Run,
		n.instances.Run, n.writeSnapshots, n.followDrainOrder, n.serveWithoutLog, n.budgets.run, n.readLoads, n.admission.Run, n.watchOverload} {
		wait.Go(func() { loop(ctx) })
	}
	wait.Go(func() { n.keepEvents(ctx) })
	defer wait.Wait()
	defer cancel()
	defer n.requests.Runner.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-n.outrun:
		n.close(ctx)
		return ErrClosed
	case <-n.closed:
		return ErrClosed
	}
}

// folded is told of each batch in offset order, in the folding goroutine.
func (n *Node) folded(_ uint64, batch *recordv1.Batch, verdicts []fold.Verdict) {
	n.snapshots.HandleFolded(batch, proto.Size(batch))
	n.events.Clock().Observe(event.Timestamp(batch.GetHlc()))
	n.budgets.folded(batch, verdicts)
	n.recordFolded(batch, verdicts)
	n.writer.HandleFolded(batch, verdicts)
}

func (n *Node) recordFolded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	for i, verdict := range verdicts {
		switch body := batch.GetEntries()[i].GetBody().(type) {
		case *recordv1.Entry_TopUp:
			n.events.Record(event.TopUpInForce, "top_up", body.TopUp.GetTopUp().GetId(), "budget", body.TopUp.GetTopUp().GetBudget(),
				"tokens", body.TopUp.GetTopUp().GetTokens(), "operator", body.TopUp.GetOperator(), "offset", verdict.Offset)
		case *recordv1.Entry_Config:
			number := event.ConfigAccepted
			if !verdict.OK() {
				number = event.ConfigRefused
			}
			n.events.Record(number, "change", body.Config.GetChangeId(), "operator", body.Config.GetOperator(), "offset", verdict.Offset)
		case *recordv1.Entry_Heartbeat:
			if body.Heartbeat.GetNumber() == firstHeartbeat {
				n.members.Wake()
			}
		case *recordv1.Entry_Close:
			if verdict.OK() {
				n.events.Record(event.IncarnationClosed, "incarnation", body.Close.GetIncarnation(), "why", body.Close.GetReason())
			}
		}
	}
}

func (n *Node) configInForce(r *operatorv1.VersionedResource) {
	key, _ := config.KeyOf(r.GetResource())
	n.events.Record(event.ConfigInForce, "resource", key, "version", r.GetVersion())
	n.watchers.tell(r)
}

func (n *Node) fire(t trigger) {
	if err := n.lifecycle.Fire(t); err != nil {
		n.events.Record(event.PanicRecovered, "why", err)
	}
}

// close ends the node after it learned that the log holds it closed. One that
// handed itself back has ended already. It waits for the log, so it must not be
// called in the folding goroutine.
func (n *Node) close(ctx context.Context) {
	if n.State() == StateStopped {
		return
	}
	n.holder.RevokeRight()
	if !n.closing.CompareAndSwap(false, true) {
		await(ctx, n.closed)
		return
	}
	n.fire(triggerClose)
	n.settleClosed(ctx)
	close(n.closed)
}

// await returns when done is closed or ctx ends. Waiting in a sync.Once for the one
// that works would go on beyond ctx, and would hold virtual time still.
func await(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
	}
}
