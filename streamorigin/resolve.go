package streamorigin

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// resolveTimeout bounds the search for where a stream began.
	resolveTimeout = 600 * time.Millisecond
	// storeHeadStart is how long the store may take before other nodes are asked beside it, and for how long these
	// wait for it in turn: an answer over an open connection from another region takes half of it.
	storeHeadStart = 150 * time.Millisecond
	// graceForOthers is how long the search waits for the rest of the nodes, and for the store, once most nodes have
	// answered: each of them has waited for the store as well.
	graceForOthers = 50 * time.Millisecond
	// maxAsked bounds how many nodes are asked for one stream.
	maxAsked = 16
	// maxMarkedAsked bounds how many marked nodes are asked for one stream: the callers of a lost node ask for all of
	// its streams at the same time.
	maxMarkedAsked = 64
	// markedPatience is how long marked nodes are waited for: one that lives answers after storeHeadStart and a round trip.
	markedPatience = storeHeadStart + 100*time.Millisecond
)

// Source is how a node knows where a stream began.
type Source string

const (
	// FromTable means that the stream began at this node, FromStore that a node published it, FromPeer that
	// another node replied with it.
	FromTable Source = "table"
	FromStore Source = "store"
	FromPeer  Source = "peer"
	// OnlyVersion means that no stream of the service can have begun at another version, as the store says;
	// OnlyVersionOfNodes that most nodes say so, and that none of them reaches the store.
	OnlyVersion        Source = "only_version"
	OnlyVersionOfNodes Source = "only_version_of_nodes"
	// OnlyBase means that the service has several versions, that the store has no record of the stream, and that each node
	// that may have begun it at another version than the base denies that.
	OnlyBase Source = "only_base"
)

// Resolution is where a stream began, and how that is known.
type Resolution struct {
	Origin Origin
	Source Source
}

// IsInferred reports whether nothing is known of the stream itself: it can't have begun at another version of its service.
func (r Resolution) IsInferred() bool {
	return r.Source == OnlyVersion || r.Source == OnlyVersionOfNodes || r.Source == OnlyBase
}

// Resolve returns where a stream of a service began. attempt is the one that brought its first event; empty if the
// caller doesn't name it. The error says why it isn't known.
func (r *Registry) Resolve(ctx context.Context, service, attempt string) (Resolution, error) {
	if o, found := r.table.Find(attempt); found {
		return Resolution{o, FromTable}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	s := &search{registry: r, request: Request{Service: service, Attempt: attempt}, stored: make(chan storeAnswer, 1)}
	go s.readStore(ctx)
	return s.run(ctx)
}

// answer answers another node, with what the store says if it is quick.
func (r *Registry) answer(ctx context.Context, request Request) Reply {
	if o, found := r.table.Find(request.Attempt); found {
		return Reply{Found: true, Origin: o}
	}
	ctx, cancel := context.WithTimeout(ctx, storeHeadStart)
	defer cancel()
	reply := Reply{Incarnation: r.deps.Incarnation, Complete: r.table.IsComplete(), Base: r.declared.Load().bases[request.Service]}
	v, err := r.reader.read(ctx)
	if err != nil {
		reply.Versions = r.knownVersions(request.Service)
		return reply
	}
	reply.FromStore, reply.Versions = true, union(v.versions[request.Service], r.listed(request.Service))
	reply.Origin, reply.Found = v.streams[hashAttempt(request.Attempt)]
	return reply
}

// knownVersions returns the versions of a service that this node knows of, also while the store is out of reach.
func (r *Registry) knownVersions(service string) []string {
	versions := r.listed(service)
	if v := r.reader.last.Load(); v != nil {
		versions = union(v.versions[service], versions)
	}
	return versions
}

// sample returns at most n peers, chosen at random.
func sample(peers []Peer, n int) []Peer {
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// union returns the elements of two lists, sorted and without repetition.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
