package budgets

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Fault is a failure injected into the simulated fleet.
type Fault string

// Faults that Compare injects.
const (
	NoFault   Fault = "normal"
	RegionCut Fault = "region cut"
	NodeCrash Fault = "node crash"
)

const (
	nearNodes  = 4
	farNodes   = 2
	numNodes   = nearNodes + farNodes
	numBudgets = 50

	// Latencies and sizes as specified for the deployment. The latencies are one-way,
	// between data centres and between regions.
	dcDelay     = 1500 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	// appendDelay is the assumed latency of an append at the store.
	appendDelay = 5 * time.Millisecond
	// gatherDelay is how long entries wait for their batch to be appended.
	gatherDelay = 20 * time.Millisecond
	// flushInterval is the shortest time between two appends of a node with settlements.
	flushInterval     = 200 * time.Millisecond
	heartbeatInterval = 5 * time.Second
	claimChunk        = 20_000

	// exchangeBytes is the size of a request and its response between two nodes,
	// entryBytes that of one log entry and batchBytes the overhead of a batch. They are
	// the sizes of the real messages.
	exchangeBytes = 130
	entryBytes    = 64
	batchBytes    = 50
)

// Scenario is a generated load combined with one fault.
type Scenario struct {
	Seed     uint64
	Fault    Fault
	Duration time.Duration
	// Rate is the number of requests per second over the whole fleet.
	Rate float64
}

func (s Scenario) faultStart() time.Duration { return s.Duration / 6 }
func (s Scenario) faultEnd() time.Duration   { return s.Duration * 4 / 6 }

// isFar reports whether a node is in the region without the store.
func isFar(node int) bool { return node >= nearNodes }

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

// generateLoad draws arrivals and top-ups. Budgets follow a Zipf distribution; each has a
// home region where four in five of its requests arrive. Every third budget is prepaid
// for only 85% of its demand, the others for 130%; half is paid at the start and half
// by top-ups, so that the former run out now and then.
func (s Scenario) generateLoad() ([]arrival, []topUp) {
	random := rand.New(rand.NewPCG(s.Seed, 7))
	zipf := rand.NewZipf(random, 1.3, 4, numBudgets-1)
	var arrivals []arrival
	demand := [numBudgets]uint64{}
	for at := time.Duration(0); at < s.Duration; {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		a := s.drawArrival(random, at, int(zipf.Uint64()))
		demand[a.budget] += a.used
		arrivals = append(arrivals, a)
	}
	var topUps []topUp
	for budget, tokens := range demand {
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

func (s Scenario) drawArrival(random *rand.Rand, at time.Duration, budget int) arrival {
	fromFar := budget%3 == 1
	if random.IntN(5) == 0 {
		fromFar = !fromFar
	}
	node := random.IntN(nearNodes)
	if fromFar {
		node = nearNodes + random.IntN(farNodes)
	}
	prompt, answer := uint64(50+random.IntN(400)), uint64(100+random.IntN(500))
	return arrival{
		at: at, node: node, budget: budget, reserve: prompt + answer,
		used:     prompt/4 + answer*uint64(30+random.IntN(70))/100,
		duration: time.Second + time.Duration(random.IntN(9000))*time.Millisecond,
	}
}
