package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

// Scenario describes the load, the faults and the length of a run.
type Scenario struct {
	Name string
	// Load is the arrival rate as a share of the capacity.
	Load   float64
	Seed   uint64
	Warmup time.Duration
	Length time.Duration
	// Faults maps engines to their faults, which begin at Onset after the warm-up and end
	// at Recovery if that is set.
	Faults   map[string]enginemodel.Faults
	Onset    time.Duration
	Recovery time.Duration
	// CutLink partitions the regions from Onset to Recovery.
	CutLink bool
	Crowd   Crowd
	// NearShare is the share of calls that arrive at the near region; 0 means the near
	// region's share of the engines.
	NearShare float64
	// BulkAccount names an account with a lower priority than all others.
	BulkAccount string
	// NoDeadlines disables the deadlines, to measure capacity.
	NoDeadlines bool
}

func (s Scenario) nearShare() float64 {
	if s.NearShare > 0 {
		return s.NearShare
	}
	return nearShare
}

// Crowd is a surge of requests from the largest account.
type Crowd struct {
	From, To time.Duration
	// ExtraRate is the additional arrival rate, as a multiple of the normal total rate.
	ExtraRate float64
}

func (c Crowd) extra(second float64) float64 {
	at := time.Duration(second * float64(time.Second))
	if at >= c.From && at < c.To {
		return c.ExtraRate
	}
	return 0
}

const (
	warmup = 20 * time.Second
	length = 60 * time.Second
	// hotRegionShare is the share of calls at the near region that exceeds what its engines
	// can serve at 80% load.
	hotRegionShare = 0.85
)

// Scenarios returns the scenarios of the main comparison.
func Scenarios(seed uint64) []Scenario {
	base := Scenario{Seed: seed, Warmup: warmup, Length: length, Onset: 10 * time.Second}
	scenario := func(name string, load float64, change func(*Scenario)) Scenario {
		s := base
		s.Name, s.Load = name, load
		if change != nil {
			change(&s)
		}
		return s
	}
	faulty := func(faults enginemodel.Faults) func(*Scenario) {
		return func(s *Scenario) { s.Faults = map[string]enginemodel.Faults{near + "-0": faults} }
	}
	return []Scenario{
		scenario("load 50%", 0.5, nil),
		scenario("load 80%", 0.8, nil),
		scenario("load 100%", 1.0, nil),
		scenario("load 130%", 1.3, nil),
		scenario("one slow engine (x4) at 80%", 0.8, faulty(enginemodel.Faults{SlowFactor: 4})),
		scenario("one hanging engine at 80%", 0.8, faulty(enginemodel.Faults{Hang: true})),
		scenario("one engine dies at 80%", 0.8, faulty(enginemodel.Faults{Dead: true})),
		scenario("one engine fails half its requests at 80%", 0.8, faulty(enginemodel.Faults{ErrorRate: 0.5})),
		scenario("one engine crosses answers at 80%", 0.8, faulty(enginemodel.Faults{CrossRate: 0.2})),
		scenario("region cut at 80%", 0.8, func(s *Scenario) { s.CutLink, s.Recovery = true, 40*time.Second }),
		scenario("hot region (85% of the calls in one) at 80%", 0.8, func(s *Scenario) { s.NearShare = hotRegionShare }),
		scenario("hot region, and the regions cut apart, at 80%", 0.8, func(s *Scenario) {
			s.NearShare, s.CutLink, s.Recovery = hotRegionShare, true, 40*time.Second
		}),
		scenario("flash crowd of one account at 80%", 0.8, func(s *Scenario) {
			s.Crowd = Crowd{From: warmup + 10*time.Second, To: warmup + 40*time.Second, ExtraRate: 1}
		}),
	}
}
