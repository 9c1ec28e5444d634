package appends

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

// Stream is the log stream of the fleet.
const Stream = "fleet"

// CallFunc delivers a call to a node; handle processes it there.
type CallFunc func(ctx context.Context, to string, handle func() *fleetv1.Response) (*fleetv1.Response, error)

// Fleet is a set of nodes with one shared log. It implements peer.Caller for the nodes.
type Fleet struct {
	Log    *standin.Log
	Policy gather.Policy
	// Applied records the applied entries. One follower folds for all nodes: every node's
	// fold yields the same result, and hundreds of followers would only cost time.
	Applied *AppliedReturns
	// HasPlainReader means that some node of the fleet can only read plain records, so that
	// gathered ones must not be written.
	HasPlainReader atomic.Bool
	// OnCall may fail or delay calls between nodes; nil delivers them immediately.
	OnCall CallFunc
	// FilterMembers may change which members a node sees; nil shows all others.
	FilterMembers func(name string, all []membership.Member) []membership.Member

	ctx   context.Context
	clock clockwork.Clock

	mu      sync.Mutex
	nodes   map[string]*Node
	members []membership.Member
}

var _ peer.Caller = (*Fleet)(nil)

// NewFleet returns a fleet without nodes, which runs until ctx is done.
func NewFleet(ctx context.Context, clock clockwork.Clock, policy gather.Policy) *Fleet {
	f := &Fleet{Log: standin.NewLog(), Policy: policy, Applied: NewAppliedReturns(), ctx: ctx, clock: clock, nodes: map[string]*Node{}}
	go recordlog.NewFollower(f.Log, Stream, clock, fold.NewEngine(f.Applied), f.handleFolded).Run(ctx)
	return f
}

func (f *Fleet) handleFolded(_ uint64, batch *recordv1.Batch, verdicts []fold.Verdict) {
	f.mu.Lock()
	n := f.nodes[batch.GetWriter()]
	f.mu.Unlock()
	if n != nil {
		n.Writer.HandleFolded(batch, verdicts)
	}
}

// Add starts a node. Its gatherer appends to gatherLog, its own writer to directLog.
func (f *Fleet) Add(info *recordv1.NodeInfo, gatherLog, directLog ports.Log) *Node {
	n := &Node{Info: info, clock: f.clock}
	events := event.NewRecorder(event.NewHLC(f.clock), n.Name(), 100, golog.NewNopLogger())
	n.Gatherer = gather.NewGatherer(gatherLog, Stream, f.clock, f.Policy, f.gatheredSupported)
	n.Appender = gather.NewAppender(gather.Config{
		Self: info, Members: func() []membership.Member { return f.VisibleMembers(n.Name()) }, Local: n.Gatherer,
		Direct: recordlog.NewLogAppender(directLog, Stream, f.gatheredSupported), Peers: f,
		Clock: f.clock, Events: events, Policy: f.Policy, GatheredSupported: f.gatheredSupported,
	})
	n.Writer = recordlog.NewWriter(directLog, Stream, n.Name(), f.clock, events.Clock(), GatherDelay)
	n.Writer.SetAppender(n.Appender)
	ctx, stop := context.WithCancel(f.ctx)
	n.Stop = stop
	f.mu.Lock()
	f.nodes[n.Name()] = n
	f.members = append(f.members, membership.Member{Node: info})
	f.mu.Unlock()
	for _, run := range []func(context.Context){n.Writer.Run, n.Gatherer.Run} {
		go run(ctx)
	}
	return n
}

func (f *Fleet) gatheredSupported() bool { return !f.HasPlainReader.Load() }

// Remove hides a node from the other members.
func (f *Fleet) Remove(n *Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		if m.Node == n.Info {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			return
		}
	}
}

// VisibleMembers returns the other members as the named node sees them.
func (f *Fleet) VisibleMembers(name string) []membership.Member {
	f.mu.Lock()
	visible := make([]membership.Member, 0, len(f.members))
	for _, m := range f.members {
		if m.Node.GetIncarnation() != name {
			visible = append(visible, m)
		}
	}
	f.mu.Unlock()
	if f.FilterMembers != nil {
		return f.FilterMembers(name, visible)
	}
	return visible
}

// Call implements peer.Caller for hand-on requests.
func (f *Fleet) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	handle := func() *fleetv1.Response { return f.handle(address, r.GetHandOn()) }
	if f.OnCall != nil {
		return f.OnCall(ctx, address, handle)
	}
	return handle(), nil
}

// handle appends a batch that was handed on, in the same way as node.Node.
func (f *Fleet) handle(address string, r *fleetv1.HandOn) *fleetv1.Response {
	f.mu.Lock()
	n := f.nodes[address]
	f.mu.Unlock()
	if n == nil {
		return &fleetv1.Response{Code: uint32(result.PeerUnreachable)}
	}
	offset, err := n.Gatherer.Append(f.ctx, r.GetBatch(), time.Duration(r.GetWaitMs())*time.Millisecond)
	if err != nil {
		return &fleetv1.Response{Code: uint32(result.LogUnavailable), Message: err.Error()}
	}
	return &fleetv1.Response{Body: &fleetv1.Response_HandedOn{HandedOn: &fleetv1.HandedOn{Offset: offset}}}
}

// Records returns all records of the log.
func (f *Fleet) Records() []ports.Record {
	readResult, err := f.Log.Read(f.ctx, Stream, 1, 1<<30, 0)
	if err != nil {
		return nil
	}
	return readResult.Records
}
