package budgets

import (
	"container/heap"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row is what one strategy did under one scenario.
type Row struct {
	Strategy string
	Fault    Fault
	Requests int
	// Refused counts all refusals. Of these, False came while the budget had the
	// request's worst case left somewhere, unreserved: those with 5% of the prepaid
	// amount or more left, and those with less. AmpleRequests counts requests of budgets
	// with 5% or more left.
	Refused, FalseAmple, FalseScarce, AmpleRequests int
	// FalseReachable counts those false refusals whose worst case lay within the reach
	// of the node that refused.
	FalseReachable int
	// Overspend is tokens beyond what was prepaid, over all budgets.
	Overspend uint64
	// FrozenPeak is the most tokens out of use by a crash, FrozenFor how long any were.
	FrozenPeak uint64
	FrozenFor  time.Duration
	// AppendsPerSecond is what the store took, CrossRegionBytesPerSecond bytes between regions.
	AppendsPerSecond, CrossRegionBytesPerSecond float64
	// P50 and P99 are the time added before dispatch.
	P50, P99 time.Duration
}

type ending struct {
	at     time.Duration
	node   int
	finish func(used uint64)
	used   uint64
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is one strategy under one scenario in progress.
type run struct {
	world
	strategy strategy
	row      Row
	added    *hdrhistogram.Histogram
	endings  endings
	topUps   []topUp
	prepaid  [budgets]uint64
	reserved [budgets]uint64
	tick     time.Duration
}

func newRun(s Scenario, by strategy) *run {
	return &run{
		world: world{Scenario: s}, strategy: by, row: Row{Strategy: by.name(), Fault: s.Fault},
		added: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
}

func (r *run) all() Row {
	var arrivals []arrival
	arrivals, r.topUps = r.load()
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
	r.row.CrossRegionBytesPerSecond = float64(r.crossing) / seconds
	r.row.P50 = time.Duration(r.added.ValueAtQuantile(50)) * time.Microsecond
	r.row.P99 = time.Duration(r.added.ValueAtQuantile(99)) * time.Microsecond
	return r.row
}

// advance lets everything happen that is due by then, in order of time.
func (r *run) advance(to time.Duration) {
	for {
		next := r.tick
		if len(r.endings) > 0 {
			next = min(next, r.endings[0].at)
		}
		if next > to {
			r.now = to
			return
		}
		r.now = next
		if len(r.endings) > 0 && r.endings[0].at == next {
			r.end(heap.Pop(&r.endings).(ending))
			continue
		}
		r.second()
		r.tick += time.Second
	}
}

// end finishes a request. One whose node died is left to recovery, which finishes it
// from what the engine counted.
func (r *run) end(e ending) { e.finish(e.used) }

func (r *run) second() {
	for len(r.topUps) > 0 && r.topUps[0].at <= r.now {
		r.prepaid[r.topUps[0].budget] += r.topUps[0].tokens
		r.strategy.topUp(&r.world, r.topUps[0].budget, r.topUps[0].tokens)
		r.topUps = r.topUps[1:]
	}
	if crashed := 1; r.Fault == NodeCrash && r.now >= r.faultStart() && !r.dead[crashed] {
		r.dead[crashed] = true
		r.strategy.crash(&r.world, crashed)
	}
	r.strategy.second(&r.world)
	if frozen := r.strategy.frozen(&r.world); frozen > 0 {
		r.row.FrozenPeak = max(r.row.FrozenPeak, frozen)
		r.row.FrozenFor += time.Second
	}
}

func (r *run) arrive(a arrival) {
	if r.dead[a.node] {
		a.node = witnessOf(a.node) // callers go on to another address
	}
	spent := r.strategy.spent(a.budget)
	left := r.prepaid[a.budget] - min(r.prepaid[a.budget], spent+r.reserved[a.budget])
	enough := left*20 >= r.prepaid[a.budget]
	r.row.Requests++
	if enough {
		r.row.AmpleRequests++
	}
	finish, took := r.strategy.reserve(&r.world, a)
	if finish == nil {
		r.refuse(left >= a.reserve, enough)
		if r.strategy.reachable(&r.world, a.node, a.budget) >= a.reserve {
			r.row.FalseReachable++
		}
		return
	}
	_ = r.added.RecordValue(max(1, took.Microseconds()))
	r.reserved[a.budget] += a.reserve
	heap.Push(&r.endings, ending{a.at + a.duration, a.node, func(used uint64) {
		r.reserved[a.budget] -= a.reserve
		finish(used)
	}, a.used})
}

func (r *run) refuse(falsely, enough bool) {
	r.row.Refused++
	switch {
	case falsely && enough:
		r.row.FalseAmple++
	case falsely:
		r.row.FalseScarce++
	}
}
