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
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/record"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/relay"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/snapshot"
	"lavenderpin.dev/lavenderpin/upstream"
)

// ErrClosed is returned by Run when the fleet has closed the node's incarnation. The daemon
// starts a new one in its place.
var ErrClosed = errors.New("the fleet closed this incarnation")

// Node is one incarnation of a node.
type Node struct {
	settings Settings
	deps     Deps
	info     *recordv1.NodeInfo

	events       *event.Recorder
	copiedEvents *event.Archive
	lifecycle    *stateless.StateMachine
	config       *config.State
	watchers     *watchers
	ledger       *budget.Ledger
	holder       *budget.ShareHolder
	budgets      budgets
	writer       *recordlog.Writer
	gatherer     *gather.Gatherer
	appender     *gather.Appender
	recordForms  atomic.Pointer[cachedRecordForms]
	follower     *recordlog.Follower
	leaseTable   *lease.Table
	leases       *lease.Manager
	members      *membership.Members
	instances    *membership.Instances
	nonLeaving   nonLeavingCache
	relay        *relay.Server
	snapshots    *snapshot.Tracker
	requests     *request.Server
	balancer     *routing.Balancer
	upstreams    *upstream.Guard
	admission    *admission.Controller
	claims       *idempotency.Claims
	quarantine   *quarantine.Guard
	crashNews    *crashPublisher
	// blocksWritten is when blocks of parts were last written to the log by any node, in Unix milliseconds.
	blocksWritten atomic.Int64
	metrics       *expvar.Map

	closed chan struct{}
	// stateReplaced is closed when a snapshot replaced the state of a node that had served.
	stateReplaced     chan struct{}
	stateReplacedOnce sync.Once
	closeStarted      atomic.Bool
	drained           chan struct{}
	drainStarted      atomic.Bool
	drainSchedule     drainSchedule
}

// New assembles a node; Run starts it.
func New(settings Settings, deps Deps) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{settings: settings, deps: deps, watchers: newWatchers(), closed: make(chan struct{}), stateReplaced: make(chan struct{}), drained: make(chan struct{})}
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
	n.copiedEvents = event.NewArchive(max(1, settings.EventCapacity/copiedEventsDivisor))
	n.lifecycle = newLifecycle(n.events)
	n.config = config.NewState(n.onConfigChange)
	n.ledger = budget.NewLedger()
	n.holder = budget.NewShareHolder(n.info.GetIncarnation(), deps.Clock)
	n.writer = recordlog.NewWriter(deps.Log, settings.Stream, n.info.GetIncarnation(), deps.Clock, hlc, settings.BatchDelay)
	n.writer.AddSource(n.settlementEntries)
	n.leaseTable = lease.NewTable()
	n.leases = lease.NewManager(n.info.GetIncarnation(), settings.LeaseTerm, n.leaseTable, n.writer, deps.Clock, n.events)
	n.claims = idempotency.NewClaims(idempotency.DefaultLimits())
	engine := fold.NewEngine(n.config, n.ledger, n.leaseTable, n.claims)
	n.initMembership()
	n.initQuarantine()
	n.initGathering()
	n.newFollower(engine)
	n.budgets = n.newBudgets()
	n.balancer = n.newBalancer()
	n.upstreams = n.newUpstreamGuard()
	n.admission = n.newAdmission()
	n.requests = &request.Server{
		Config: n.config.View, Reserver: n.budgets.reserver, Picker: n.balancer, Admission: n.admission,
		Client: n.upstreams, Events: n.events, Clock: deps.Clock, Region: settings.Region,
		ExcludeLeaving: n.excludeLeaving, CheckPauses: n.balancer.CheckPauses,
		AwaitReachable: n.awaitReachable, Quarantine: n.quarantine, QueueDelay: deps.QueueDelay,
	}
	n.configureRequests()
	n.metrics = n.newMetrics()
	return n, nil
}

// Incarnation returns the name of this run of the node, which is never reused.
func (n *Node) Incarnation() string { return n.info.GetIncarnation() }

// Info returns the node's identity, location and addresses.
func (n *Node) Info() *recordv1.NodeInfo { return n.info }

// Requests returns the server for callers' requests.
func (n *Node) Requests() *request.Server { return n.requests }

// Events returns the node's event recorder.
func (n *Node) Events() *event.Recorder { return n.events }

// Ledger returns the state of the budgets that this node has applied.
func (n *Node) Ledger() *budget.Ledger { return n.ledger }

// Config returns the configuration in force on this node.
func (n *Node) Config() *config.View { return n.config.View() }

// AppliedOffset returns the highest log offset that this node has applied.
func (n *Node) AppliedOffset() uint64 { return n.follower.Offset() }

// Metrics returns the node's expvar map; only daemons publish it.
func (n *Node) Metrics() *expvar.Map { return n.metrics }

// Settings returns the settings that the node was created with.
func (n *Node) Settings() Settings { return n.settings }

// Leases returns the leases that this node holds or campaigns for.
func (n *Node) Leases() lease.Holder { return n.leases }

// LogWriter returns the node's writer to the log.
func (n *Node) LogWriter() *recordlog.Writer { return n.writer }

// State returns the node's lifecycle state.
func (n *Node) State() State { return n.lifecycle.MustState().(State) }

// Closed returns a channel that is closed once the node has ended because the fleet closed its
// incarnation.
func (n *Node) Closed() <-chan struct{} { return n.closed }

// Run runs the node until ctx is done, which stops it abruptly, or until the fleet closes the
// incarnation; it then returns ErrClosed.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.events.Record(event.NodeStarting, "region", n.settings.Region, "data_centre", n.settings.DataCentre)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.writer.Run, n.gatherer.Run, n.follower.Run, n.sendHeartbeats, n.members.Run, n.leases.Run, n.flushSettlements, n.newOrderExecutor().Run,
		n.instances.Run, n.writeSnapshots, n.followDrainOrders, n.serveWithoutLog, n.budgets.run, n.readLoads, n.repeatBlocks, n.admission.Run, n.watchOverload, n.watchPaths} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Go(func() { n.copyPeerEvents(ctx) })
	defer wg.Wait()
	defer cancel()
	defer n.requests.Runner.Stop()
	defer n.crashNews.spreader.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-n.stateReplaced:
		n.handleClosed(ctx)
		return ErrClosed
	case <-n.closed:
		return ErrClosed
	}
}

// batchApplied is called after each batch, in offset order, in the goroutine that applies them.
func (n *Node) batchApplied(_ uint64, batch *recordv1.Batch, verdicts []fold.Verdict) {
	n.snapshots.HandleFolded(batch, proto.Size(batch))
	n.events.Clock().Observe(event.Timestamp(batch.GetHlc()))
	n.budgets.batchApplied(batch, verdicts)
	n.recordBatchEvents(batch, verdicts)
	n.writer.HandleFolded(batch, verdicts)
}

func (n *Node) recordBatchEvents(batch *recordv1.Batch, verdicts []fold.Verdict) {
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
			if body.Heartbeat.GetNumber() == firstHeartbeatNumber {
				n.members.Wake()
			}
		case *recordv1.Entry_UpstreamCrashes:
			n.learnCrashesFromLog(batch, body.UpstreamCrashes)
		case *recordv1.Entry_Close:
			if verdict.OK() {
				n.events.Record(event.IncarnationClosed, "incarnation", body.Close.GetIncarnation(), "why", body.Close.GetReason())
			}
		}
	}
}

func (n *Node) onConfigChange(r *operatorv1.VersionedResource) {
	key, _ := config.KeyOf(r.GetResource())
	n.events.Record(event.ConfigInForce, "resource", key, "version", r.GetVersion())
	n.watchers.notify(r)
}

// fire triggers a transition; fields are added to its event.
func (n *Node) fire(t trigger, fields ...any) {
	if err := n.lifecycle.Fire(t, fields...); err != nil {
		n.events.Record(event.PanicRecovered, "why", err)
	}
}

// handleClosed ends the node once it has learned that its incarnation is closed in the log. A
// node that closed itself while draining has stopped already. It waits for the log, so it must
// not be called in the goroutine that applies batches.
func (n *Node) handleClosed(ctx context.Context) {
	if n.State() == StateStopped {
		return
	}
	n.holder.RevokeRight()
	if !n.closeStarted.CompareAndSwap(false, true) {
		awaitClosed(ctx, n.closed)
		return
	}
	n.fire(triggerClose)
	n.settleClosed(ctx)
	close(n.closed)
}

// awaitClosed returns when done is closed or ctx is done. Waiting in a sync.Once for the call in
// progress would not end with ctx, and would block the fake clock in tests.
func awaitClosed(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
	}
}
