package streamorigin

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Deps are the dependencies of a Registry.
type Deps struct {
	Clock  bootclock.Clock
	Events *event.Recorder
	// Topic holds the declared versions and the nodes' streams.
	Topic keyedlog.Topic
	// Node and Incarnation identify this process.
	Node, Incarnation string
	// Services returns the services whose streams callers may take up.
	Services func() []string
	// Versions returns the versions of a service's upstreams that are listed, or were within a time.
	Versions func(service string, within time.Duration) []string
	// Peers returns the other nodes; known is false while nothing was read of them.
	Peers func() (peers []Peer, known bool)
	// Transport asks other nodes.
	Transport Transport
	// IsLive reports whether an incarnation of a node was seen recently, IsCleaner whether this node is the one
	// that deletes what others left in the topic.
	IsLive    func(node, incarnation string) bool
	IsCleaner func() bool
}

// Peer is another node.
type Peer struct{ Node, Address string }

// Registry knows where streams began: those of this node from its table, those of others from the store or from
// the nodes themselves. It is safe for concurrent use.
//
// A version is declared in the store before a stream begins there. While a service has one version, nothing else is
// written: every stream began there. Once it has several, each node writes the origins of its open streams, and a mark
// before it begins any at another version than the first, the base. So a stream that no record has and no marked node
// knows began at the base.
type Registry struct {
	deps   Deps
	table  *Table
	reader *reader
	// mixed holds the services that have several versions, as of the publisher's last step.
	mixed atomic.Pointer[map[string]bool]
	// declared are the versions at which streams may begin.
	declared atomic.Pointer[declarations]
	// markedUntil is until when this node relies on its mark, a reading of the clock.
	markedUntil atomic.Int64
	// changed holds an element if the list of upstreams changed.
	changed chan struct{}
}

// NewRegistry returns a registry without streams.
func NewRegistry(deps Deps) *Registry {
	r := &Registry{deps: deps, table: NewTable(deps.Clock), changed: make(chan struct{}, 1),
		reader: &reader{topic: deps.Topic, clock: deps.Clock, events: deps.Events}}
	r.declared.Store(&declarations{next: make(chan struct{})})
	return r
}

// Record records where a stream began; see Table.Record.
func (r *Registry) Record(attempt string, o Origin, life time.Duration) {
	r.table.Record(attempt, o, life)
	if !o.IsListed() {
		r.UpstreamsChanged() // its version must be declared like any other
	}
}

// Finish records that a stream was delivered to its end. While its service has several versions it is kept: other nodes
// may conclude from this node's reply that it began elsewhere.
func (r *Registry) Finish(attempt string) {
	o, found := r.table.Find(attempt)
	r.table.Finish(attempt, found && r.HasSeveralVersions(o.Service))
}

// HasSeveralVersions reports whether streams of a service may have begun at several versions.
func (r *Registry) HasSeveralVersions(service string) bool {
	mixed := r.mixed.Load()
	return mixed != nil && (*mixed)[service]
}

// Size returns how many streams this node keeps the origin of.
func (r *Registry) Size() int { return r.table.Size() }

// UpstreamsChanged makes the registry look for new versions at once.
func (r *Registry) UpstreamsChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// listed returns the versions of a service at which streams that callers still take up may have begun, as far as
// this node's list of upstreams shows.
func (r *Registry) listed(service string) []string { return r.deps.Versions(service, MaxLife) }

// Run declares versions and writes the origins of this node's streams until ctx ends.
func (r *Registry) Run(ctx context.Context) { newPublisher(r).run(ctx) }
