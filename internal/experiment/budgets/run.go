package budgets

import (
	"container/heap"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row is the result of one strategy under one scenario.
type Row struct {
	Strategy string
	Fault    Fault
	Requests int
	// Refused counts all refusals. A refusal is false if the budget still had enough
	// unreserved tokens anywhere for the request's worst case: FalseAmple counts those
	// with at least 5% of the prepaid amount left, FalseScarce those with less.
	// AmpleRequests counts all requests to budgets with at least 5% left.
	Refused, FalseAmple, FalseScarce, AmpleRequests int
	// FalseReachable counts the false refusals where the refusing node could have
	// reached enough tokens for the worst case.
	FalseReachable int
	// Overspend is the number of tokens spent beyond the prepaid amounts, over all budgets.
	Overspend uint64
	// FrozenPeak is the maximum number of tokens made unusable by a crash, FrozenFor
	// how long any were.
	FrozenPeak uint64
	FrozenFor  time.Duration
	// AppendsPerSecond is the store's append rate, CrossRegionBytesPerSecond the traffic
	// between regions.
	AppendsPerSecond, CrossRegionBytesPerSecond float64
	// P50 and P99 are percentiles of the latency added before dispatch.
	P50, P99 time.Duration
}

type completion struct {
	at     time.Duration
	node   int
	finish func(used uint64)
	used   uint64
}

type completions []completion

func (q completions) Len() int           { return len(q) }
func (q completions) Less(i, j int) bool { return q[i].at < q[j].at }
func (q completions) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *completions) Push(x any)        { *q = append(*q, x.(completion)) }
func (q *completions) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run simulates one strategy under one scenario.
type run struct {
	fleetModel
	strategy    strategy
	row         Row
	added       *hdrhistogram.Histogram
	completions completions
	topUps      []topUp
	prepaid     [numBudgets]uint64
	reserved    [numBudgets]uint64
	nextTick    time.Duration
}

func newRun(s Scenario, strat strategy) *run {
	return &run{
		fleetModel: fleetModel{Scenario: s}, strategy: strat, row: Row{Strategy: strat.name(), Fault: s.Fault},
		added: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
}

func (r *run) execute() Row {
	var arrivals []arrival
	arrivals, r.topUps = r.generateLoad()
	for _, a := range arrivals {
		r.advance(a.at)
		r.arrive(a)
	}
	for budget, prepaid := range r.prepaid {
		if spent := r.strategy.spent(budget); spent > prepaid {
			r.row.Overspend += spent - prepaid
		}
	}
	seconds := r.Duration.Seconds()
	r.row.AppendsPerSecond = float64(r.appends) / seconds
	r.row.CrossRegionBytesPerSecond = float64(r.crossRegionBytes) / seconds
	r.row.P50 = time.Duration(r.added.ValueAtQuantile(50)) * time.Microsecond
	r.row.P99 = time.Duration(r.added.ValueAtQuantile(99)) * time.Microsecond
	return r.row
}

// advance processes all events due up to the given time, in chronological order.
func (r *run) advance(to time.Duration) {
	for {
		next := r.nextTick
		if len(r.completions) > 0 {
			next = min(next, r.completions[0].at)
		}
		if next > to {
			r.now = to
			return
		}
		r.now = next
		if len(r.completions) > 0 && r.completions[0].at == next {
			r.complete(heap.Pop(&r.completions).(completion))
			continue
		}
		r.tick()
		r.nextTick += time.Second
	}
}

// complete settles a request. If its node crashed, recovery settles it instead, from the
// engine's token count, so both cases are the same here.
func (r *run) complete(c completion) { c.finish(c.used) }

func (r *run) tick() {
	for len(r.topUps) > 0 && r.topUps[0].at <= r.now {
		r.prepaid[r.topUps[0].budget] += r.topUps[0].tokens
		r.strategy.topUp(&r.fleetModel, r.topUps[0].budget, r.topUps[0].tokens)
		r.topUps = r.topUps[1:]
	}
	if crashed := 1; r.Fault == NodeCrash && r.now >= r.faultStart() && !r.dead[crashed] {
		r.dead[crashed] = true
		r.strategy.crash(&r.fleetModel, crashed)
	}
	r.strategy.tick(&r.fleetModel)
	if frozen := r.strategy.frozen(&r.fleetModel); frozen > 0 {
		r.row.FrozenPeak = max(r.row.FrozenPeak, frozen)
		r.row.FrozenFor += time.Second
	}
}

func (r *run) arrive(a arrival) {
	if r.dead[a.node] {
		a.node = witnessFor(a.node) // callers retry at another address
	}
	spent := r.strategy.spent(a.budget)
	left := r.prepaid[a.budget] - min(r.prepaid[a.budget], spent+r.reserved[a.budget])
	ample := left*20 >= r.prepaid[a.budget]
	r.row.Requests++
	if ample {
		r.row.AmpleRequests++
	}
	finish, took := r.strategy.reserve(&r.fleetModel, a)
	if finish == nil {
		r.recordRefusal(left >= a.reserve, ample)
		if r.strategy.reachable(&r.fleetModel, a.node, a.budget) >= a.reserve {
			r.row.FalseReachable++
		}
		return
	}
	_ = r.added.RecordValue(max(1, took.Microseconds()))
	r.reserved[a.budget] += a.reserve
	heap.Push(&r.completions, completion{a.at + a.duration, a.node, func(used uint64) {
		r.reserved[a.budget] -= a.reserve
		finish(used)
	}, a.used})
}

func (r *run) recordRefusal(falsely, ample bool) {
	r.row.Refused++
	switch {
	case falsely && ample:
		r.row.FalseAmple++
	case falsely:
		r.row.FalseScarce++
	}
}
