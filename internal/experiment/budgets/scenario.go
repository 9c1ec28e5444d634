package budgets

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Fault is what happens to the modelled fleet.
type Fault string

// The faults of the comparison.
const (
	NoFault   Fault = "normal"
	RegionCut Fault = "region cut"
	NodeCrash Fault = "node crash"
)

const (
	nearNodes = 4
	farNodes  = 2
	nodes     = nearNodes + farNodes
	budgets   = 50

	// Latencies and sizes of the brief: between data centres and between regions, one way.
	dcDelay     = 1500 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	// appendDelay is what the store takes for an append, assumed.
	appendDelay = 5 * time.Millisecond
	// gather is how long entries wait for their batch.
	gather = 20 * time.Millisecond
	// flush is how often a node with settlements appends.
	flush = 200 * time.Millisecond
	beat  = 5 * time.Second
	chunk = 20_000

	// askBytes is a request and its answer between two nodes; entryBytes one entry in
	// the log and batchBytes what a batch adds. Both are sizes of the real messages.
	askBytes   = 130
	entryBytes = 64
	batchBytes = 50
)

// Scenario is one load and one fault.
type Scenario struct {
	Seed     uint64
	Fault    Fault
	Duration time.Duration
	// Rate is requests per second over the whole fleet.
	Rate float64
}

func (s Scenario) faultStart() time.Duration { return s.Duration / 6 }
func (s Scenario) faultEnd() time.Duration   { return s.Duration * 4 / 6 }

// far tells whether a node stands in the region without the store.
func far(node int) bool { return node >= nearNodes }

type arrival struct {
	at       time.Duration
	node     int
	budget   int
	reserve  uint64
	used     uint64
	duration time.Duration
}

type topUp struct {
	at     time.Duration
	budget int
	tokens uint64
}

// load draws arrivals and top-ups. Budgets are drawn by a zipf law; each has a home
// region from which four in five of its requests come. Every third budget is paid
// for only 85% of what it will want, half of it at the start and half by top-ups,
// so it runs dry now and then.
func (s Scenario) load() ([]arrival, []topUp) {
	random := rand.New(rand.NewPCG(s.Seed, 7))
	zipf := rand.NewZipf(random, 1.3, 4, budgets-1)
	var arrivals []arrival
	wanted := [budgets]uint64{}
	for at := time.Duration(0); at < s.Duration; {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		a := s.draw(random, at, int(zipf.Uint64()))
		wanted[a.budget] += a.used
		arrivals = append(arrivals, a)
	}
	var topUps []topUp
	for budget, tokens := range wanted {
		paid := tokens * 13 / 10
		if budget%3 == 0 {
			paid = tokens * 85 / 100
		}
		topUps = append(topUps, topUp{0, budget, paid / 2})
		for part := time.Duration(1); part <= 5; part++ {
			topUps = append(topUps, topUp{s.Duration * part / 6, budget, paid / 10})
		}
	}
	sort.SliceStable(topUps, func(i, j int) bool { return topUps[i].at < topUps[j].at })
	return arrivals, topUps
}

func (s Scenario) draw(random *rand.Rand, at time.Duration, budget int) arrival {
	home := budget%3 == 1
	if random.IntN(5) == 0 {
		home = !home
	}
	node := random.IntN(nearNodes)
	if home {
		node = nearNodes + random.IntN(farNodes)
	}
	prompt, answer := uint64(50+random.IntN(400)), uint64(100+random.IntN(500))
	return arrival{
		at: at, node: node, budget: budget, reserve: prompt + answer,
		used:     prompt/4 + answer*uint64(30+random.IntN(70))/100,
		duration: time.Second + time.Duration(random.IntN(9000))*time.Millisecond,
	}
}
