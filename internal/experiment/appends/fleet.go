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

// Stream is the log stream in use.
const Stream = "fleet"

// CallFunc passes a call to a node on; handle runs it there.
type CallFunc func(ctx context.Context, to string, handle func() *fleetv1.Response) (*fleetv1.Response, error)

// Fleet is a number of nodes over one log. It is the nodes' peer.Caller.
type Fleet struct {
	Log    *standin.Log
	Policy gather.Policy
	// Applied is what took effect. One follower folds for all nodes: every node's fold
	// gives the same, and hundreds of them would only cost time.
	Applied *AppliedReturns
	// HasPlainReader says that a node of the fleet reads plain records only.
	HasPlainReader atomic.Bool
	// OnCall may fail or delay calls between nodes; nil passes them at once.
	OnCall CallFunc
	// FilterMembers may change what a node sees of the others; nil shows all.
	FilterMembers func(name string, all []membership.Member) []membership.Member

	ctx   context.Context
	clock clockwork.Clock

	mu      sync.Mutex
	nodes   map[string]*Node
	members []membership.Member
}

var _ peer.Caller = (*Fleet)(nil)

// NewFleet returns a fleet without nodes, which runs until ctx ends.
func NewFleet(ctx context.Context, clock clockwork.Clock, policy gather.Policy) *Fleet {
	f := &Fleet{Log: standin.NewLog(), Policy: policy, Applied: NewAppliedReturns(), ctx: ctx, clock: clock, nodes: map[string]*Node{}}
	go recordlog.NewFollower(f.Log, Stream, clock, fold.NewEngine(f.Applied), f.folded).Run(ctx)
	return f
}

func (f *Fleet) folded(_ uint64, batch *recordv1.Batch, verdicts []fold.Verdict) {
	f.mu.Lock()
	n := f.nodes[batch.GetWriter()]
	f.mu.Unlock()
	if n != nil {
		n.Writer.HandleFolded(batch, verdicts)
	}
}

// Add starts a node. It gathers by way of gathered and appends for itself by way of
// alone.
func (f *Fleet) Add(info *recordv1.NodeInfo, gathered, alone ports.Log) *Node {
	n := &Node{Info: info, clock: f.clock}
	events := event.NewRecorder(event.NewHLC(f.clock), n.Name(), 100, golog.NewNopLogger())
	n.Gatherer = gather.NewGatherer(gathered, Stream, f.clock, f.Policy, f.allRead)
	n.Appender = gather.NewAppender(gather.Config{
		Self: info, Members: func() []membership.Member { return f.VisibleMembers(n.Name()) }, Local: n.Gatherer,
		Direct: recordlog.NewLogAppender(alone, Stream, f.allRead), Peers: f, Clock: f.clock, Events: events, Policy: f.Policy, GatheredSupported: f.allRead,
	})
	n.Writer = recordlog.NewWriter(alone, Stream, n.Name(), f.clock, events.Clock(), GatherDelay)
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

func (f *Fleet) allRead() bool { return !f.HasPlainReader.Load() }

// Remove takes a node out of what the others see.
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

// VisibleMembers returns what a node sees of the others.
func (f *Fleet) VisibleMembers(name string) []membership.Member {
	f.mu.Lock()
	seen := make([]membership.Member, 0, len(f.members))
	for _, m := range f.members {
		if m.Node.GetIncarnation() != name {
			seen = append(seen, m)
		}
	}
	f.mu.Unlock()
	if f.FilterMembers != nil {
		return f.FilterMembers(name, seen)
	}
	return seen
}

// Call implements peer.Caller for batches that are handed on.
func (f *Fleet) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	handle := func() *fleetv1.Response { return f.handle(address, r.GetHandOn()) }
	if f.OnCall != nil {
		return f.OnCall(ctx, address, handle)
	}
	return handle(), nil
}

// handle does as node.Node does.
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

// Records returns what the log holds.
func (f *Fleet) Records() []ports.Record {
	slice, err := f.Log.Read(f.ctx, Stream, 1, 1<<30, 0)
	if err != nil {
		return nil
	}
	return slice.Records
}
