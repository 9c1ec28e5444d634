package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds, each against one target.
const (
	KillNode                Kind = "kill node"
	KillAll                 Kind = "kill all nodes"
	PauseNode               Kind = "pause node"
	StopNode                Kind = "stop node"
	StoreUnavailable        Kind = "store away"
	StoreDropsResponses     Kind = "store loses answers"
	StoreCompacts           Kind = "store forgets its history"
	NodeStoreSilent         Kind = "node cut from the store"
	NodeStoreDropsResponses Kind = "store's answers to a node are lost"
	NodeStoreSlow           Kind = "node's way to the store is slow"
	UpstreamReset           Kind = "upstream's connections are reset"
	UpstreamSilent          Kind = "upstream is dark"
	UpstreamCutsStreams     Kind = "upstream cuts its streams"
	UpstreamFails           Kind = "upstream fails"
	UpstreamSheds           Kind = "upstream is full"
	TopUp                   Kind = "top-up"
	NewRoute                Kind = "new route"
)

var kinds = []Kind{KillNode, KillAll, PauseNode, StopNode, StopNode, StoreUnavailable, StoreDropsResponses, StoreCompacts, NodeStoreSilent, NodeStoreDropsResponses, NodeStoreSlow,
	UpstreamReset, UpstreamSilent, UpstreamCutsStreams, UpstreamFails, UpstreamSheds, TopUp, NewRoute}

// Step is one fault of a plan.
type Step struct {
	Kind Kind
	// At is when it begins, Duration how long it lasts.
	At, Duration time.Duration
	// Target is the node or upstream, counted from zero.
	Target int
}

func (s Step) String() string {
	return fmt.Sprintf("%5.1fs %s %d for %.1fs", s.At.Seconds(), s.Kind, s.Target, s.Duration.Seconds())
}

const (
	// stepEvery is the mean time between two steps, so that they overlap.
	stepEvery = 700 * time.Millisecond
	// longestFault is how long a fault lasts at most: the store was seen away for 9 s, and a
	// run of a seed should see several faults in turn.
	longestFault = 4 * time.Second
)

// NewPlan returns the plan of a seed over a time.
func NewPlan(seed uint64, length time.Duration, nodes, upstreams int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	var plan []Step
	for at := time.Second; at < length; at += stepEvery/2 + time.Duration(r.Int64N(int64(stepEvery))) {
		kind := kinds[r.IntN(len(kinds))]
		targets := nodes
		switch kind {
		case UpstreamReset, UpstreamSilent, UpstreamCutsStreams, UpstreamFails, UpstreamSheds:
			targets = upstreams
		}
		plan = append(plan, Step{Kind: kind, At: at, Duration: time.Duration(r.Int64N(int64(longestFault))), Target: r.IntN(targets)})
	}
	return plan
}
