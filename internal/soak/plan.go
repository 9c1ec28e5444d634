package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// Kind is a kind of fault or planned operation.
type Kind string

// The kinds, each applied to one target.
const (
	KillNode                Kind = "kill node"
	KillAll                 Kind = "kill all nodes"
	PauseNode               Kind = "pause node"
	StarveNode              Kind = "node gets a fifth of a processor"
	StopNode                Kind = "stop node"
	StopSeries              Kind = "stop all nodes one after another" // becomes a StopNode for each
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
	UpstreamLeaves          Kind = "upstream leaves"
	UpstreamNamesLimit      Kind = "upstream names a limit on its requests"
	NodeUpstreamsSilent     Kind = "node cut from all upstreams"
	NodeUpstreamsReset      Kind = "node's connections to all upstreams reset, then cut"
	UpstreamChangesVersion  Kind = "upstream restarts under its ID as another version"
	UpstreamCrashes         Kind = "upstream crashes and comes back"
	RequestsCrashUpstream   Kind = "upstream crashes under some requests"
	TopUp                   Kind = "top-up"
	NewRoute                Kind = "new route"
	EvacuateDataCentre      Kind = "data centre is evacuated"
	UpstreamRestartsCold    Kind = "upstream restarts and is cold"
	OddEntries              Kind = "odd entries among the upstreams'"
	UpstreamSpoilsStreams   Kind = "upstream spoils some of its streams"
)

var kinds = []Kind{KillNode, KillAll, PauseNode, StopNode, StopNode, StopSeries, StoreUnavailable, StoreDropsResponses, StoreCompacts, NodeStoreSilent, NodeStoreDropsResponses, NodeStoreSlow,
	UpstreamReset, UpstreamSilent, UpstreamCutsStreams, UpstreamFails, UpstreamSheds, UpstreamSheds, UpstreamLeaves, TopUp, NewRoute}

// Step is one fault or planned operation of a plan.
type Step struct {
	Kind Kind
	// At is when the step begins, relative to the plan's start, Duration how long it lasts.
	At, Duration time.Duration
	// Target is the node or upstream, counted from zero.
	Target int
	// RetryAfter is the pause that an UpstreamSheds asks for; zero if none.
	RetryAfter time.Duration
	// ShedEvery limits an UpstreamSheds to every request of this number; zero means all.
	ShedEvery int
	// EntryDelay is how long after the beginning of an UpstreamLeaves the upstream's entry in the
	// store says so; zero if never.
	EntryDelay time.Duration
	// Limit is the requests a second that an UpstreamNamesLimit takes from all nodes together.
	Limit float64
	// SpoilEvery has an UpstreamSpoilsStreams spoil one stream in this number, in the form Spoil.
	SpoilEvery int
	Spoil      standin.SpoilForm
}

func (s Step) String() string {
	text := fmt.Sprintf("%5.1fs %s %d for %.1fs", s.At.Seconds(), s.Kind, s.Target, s.Duration.Seconds())
	if s.RetryAfter > 0 {
		text += fmt.Sprintf(" for one request in %d, asks for a pause of %s", s.ShedEvery, s.RetryAfter)
	}
	if s.EntryDelay > 0 {
		text += fmt.Sprintf(", its entry says so after %.1fs", s.EntryDelay.Seconds())
	}
	if s.Limit > 0 {
		text += fmt.Sprintf(", takes %.1f a second", s.Limit)
	}
	if s.SpoilEvery > 0 {
		text += fmt.Sprintf(", one in %d (%s)", s.SpoilEvery, s.Spoil)
	}
	return text
}

const (
	// meanStepInterval is the mean time between two steps, short enough that they overlap.
	meanStepInterval = 700 * time.Millisecond
	// maxFaultDuration bounds how long a fault lasts: the store was observed unavailable for 9 s,
	// but a run of a seed should go through several faults in turn.
	maxFaultDuration = 4 * time.Second
	// minLeaveDuration is how long an upstream at least serves after it began to leave: long
	// enough for requests to arrive that nodes must no longer send.
	minLeaveDuration = leaveMargin + time.Second
	// minCutDuration is how long a node is cut from all upstreams at least: longer than it has to
	// find other ways.
	minCutDuration = cutMargin + 2*time.Second
	// minSeriesInterval and maxSeriesInterval bound the time between two stops of a series: much
	// less than a stop may take, so that stops overlap.
	minSeriesInterval = 250 * time.Millisecond
	maxSeriesInterval = 1250 * time.Millisecond
	// shedSeriesInterval is the time between two upstreams of a series that begin to shed.
	shedSeriesInterval = 200 * time.Millisecond
	// maxShedPause is the longest pause that upstreams ask for, in seconds.
	maxShedPause = 3
	// maxShedEvery is the largest ShedEvery: what still serves a part of its requests remains
	// attractive to nodes.
	maxShedEvery = 3
)

// NewPlan returns the steps that the options yield for a number of upstreams.
func NewPlan(o Options, upstreams int) []Step {
	seed, length, nodes := o.Seed, o.Length, o.Nodes
	r := rand.New(rand.NewPCG(seed, 1))
	var plan []Step
	for at := time.Second; at < length; at += meanStepInterval/2 + time.Duration(r.Int64N(int64(meanStepInterval))) {
		s := Step{Kind: kinds[r.IntN(len(kinds))], At: at, Duration: time.Duration(r.Int64N(int64(maxFaultDuration)))}
		s.Target = r.IntN(nodes)
		if s.affectsUpstream() {
			s.Target = r.IntN(upstreams)
		}
		switch s.Kind {
		case StopSeries:
			plan = append(plan, series(s, nodes, minSeriesInterval+time.Duration(r.Int64N(int64(maxSeriesInterval-minSeriesInterval))))...)
			continue
		case UpstreamSheds:
			if r.IntN(2) == 0 {
				plan = append(plan, shedsWithPause(r, s, upstreams)...)
				continue
			}
		case UpstreamLeaves:
			if r.IntN(2) == 0 {
				s.EntryDelay = minLeaveDuration/2 + s.Duration/2
			}
			s.Duration += minLeaveDuration
		}
		plan = append(plan, s)
	}
	plan = append(plan, cutsFromUpstreams(rand.New(rand.NewPCG(seed, 2)), length, nodes)...)
	plan = append(plan, restartsAsOtherVersion(rand.New(rand.NewPCG(seed, 3)), length)...)
	plan = append(plan, namedLimits(rand.New(rand.NewPCG(seed, 4)), length, upstreams)...)
	if o.Starved {
		plan = append(plan, starvedNodes(rand.New(rand.NewPCG(seed, 6)), length, nodes)...)
	}
	if o.Crashes {
		plan = append(plan, crashingUpstreams(rand.New(rand.NewPCG(seed, 5)), length)...)
	}
	if o.CrashCalls {
		plan = append(plan, crashingServices(rand.New(rand.NewPCG(seed, 7)), length)...)
	}
	if o.OddEntries {
		plan = append(plan, oddEntries(rand.New(rand.NewPCG(seed, 9)), length)...)
	}
	if o.Places {
		plan = append(plan, placeSteps(rand.New(rand.NewPCG(seed, 8)), length, upstreams)...)
	}
	if o.Spoilt {
		plan = append(plan, spoiltStreams(rand.New(rand.NewPCG(seed, 10)), length)...)
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// shedsWithPause returns an UpstreamSheds that asks for a pause: of the step's target or, as if the
// load were too high, of all upstreams one after another.
func shedsWithPause(r *rand.Rand, s Step, upstreams int) []Step {
	count := 1
	if r.IntN(2) == 0 {
		count = upstreams
	}
	var steps []Step
	for range count {
		s.RetryAfter = time.Duration(1+r.IntN(maxShedPause)) * time.Second
		s.ShedEvery = 1 + r.IntN(maxShedEvery)
		steps = append(steps, s)
		s.At += shedSeriesInterval
		s.Target = (s.Target + 1) % upstreams
	}
	return steps
}

// cutsFromUpstreams returns, for half of the seeds, one cut of one or two nodes from all upstreams,
// while the others reach them. It has numbers of its own, so that other steps don't depend on it.
func cutsFromUpstreams(r *rand.Rand, length time.Duration, nodes int) []Step {
	if r.IntN(2) == 0 {
		return nil
	}
	s := Step{Kind: NodeUpstreamsSilent, At: time.Duration(r.Int64N(int64(length))), Duration: minCutDuration + time.Duration(r.Int64N(int64(maxFaultDuration))), Target: r.IntN(nodes)}
	if r.IntN(2) == 0 {
		s.Kind = NodeUpstreamsReset
	}
	steps := []Step{s}
	if r.IntN(2) == 0 {
		s.Target = (s.Target + 1) % nodes
		steps = append(steps, s)
	}
	return steps
}

// affectsUpstream reports whether the step's target is an upstream.
func (s Step) affectsUpstream() bool {
	switch s.Kind {
	case UpstreamReset, UpstreamSilent, UpstreamCutsStreams, UpstreamFails, UpstreamSheds, UpstreamLeaves, UpstreamNamesLimit:
		return true
	default:
		return false
	}
}

// series returns stops of all nodes, beginning with the step's target.
func series(s Step, nodes int, interval time.Duration) []Step {
	var steps []Step
	for i := range nodes {
		steps = append(steps, Step{Kind: StopNode, At: s.At + time.Duration(i)*interval, Target: (s.Target + i) % nodes})
	}
	return steps
}
