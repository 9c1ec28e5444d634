package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

// Scenario is one experiment: load, faults and length.
type Scenario struct {
	Name string
	// Load is the offered rate as a share of the capacity.
	Load   float64
	Seed   uint64
	Warmup time.Duration
	Length time.Duration
	// Faults engines get their faults at Onset after the warm-up, and lose them at
	// Recovery if that is set.
	Faults   map[string]enginemodel.Faults
	Onset    time.Duration
	Recovery time.Duration
	// CutLink cuts the regions apart from Onset to Recovery.
	CutLink bool
	Crowd   Crowd
	// NearShare of the calls come in at the near region; 0 means its share of engines.
	NearShare float64
	// BulkAccount names an account whose priority is lower than that of all others.
	BulkAccount string
	// NoDeadlines drops the deadlines, to measure capacity.
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
	// ExtraRate requests, as a multiple of the normal rate of all.
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
	// hotShare of the calls at the near region is more than its engines can serve at 80%.
	hotShare = 0.85
)

// Scenarios returns those of the report.
func Scenarios(seed uint64) []Scenario {
	base := Scenario{Seed: seed, Warmup: warmup, Length: length, Onset: 10 * time.Second}
	with := func(name string, load float64, change func(*Scenario)) Scenario {
		s := base
		s.Name, s.Load = name, load
		if change != nil {
			change(&s)
		}
		return s
	}
	sick := func(faults enginemodel.Faults) func(*Scenario) {
		return func(s *Scenario) { s.Faults = map[string]enginemodel.Faults{near + "-0": faults} }
	}
	return []Scenario{
		with("load 50%", 0.5, nil),
		with("load 80%", 0.8, nil),
		with("load 100%", 1.0, nil),
		with("load 130%", 1.3, nil),
		with("one slow engine (x4) at 80%", 0.8, sick(enginemodel.Faults{SlowFactor: 4})),
		with("one hanging engine at 80%", 0.8, sick(enginemodel.Faults{Hang: true})),
		with("one engine dies at 80%", 0.8, sick(enginemodel.Faults{Dead: true})),
		with("one engine fails half its requests at 80%", 0.8, sick(enginemodel.Faults{ErrorRate: 0.5})),
		with("one engine crosses answers at 80%", 0.8, sick(enginemodel.Faults{CrossRate: 0.2})),
		with("region cut at 80%", 0.8, func(s *Scenario) { s.CutLink, s.Recovery = true, 40*time.Second }),
		with("hot region (85% of the calls in one) at 80%", 0.8, func(s *Scenario) { s.NearShare = hotShare }),
		with("hot region, and the regions cut apart, at 80%", 0.8, func(s *Scenario) {
			s.NearShare, s.CutLink, s.Recovery = hotShare, true, 40*time.Second
		}),
		with("flash crowd of one account at 80%", 0.8, func(s *Scenario) {
			s.Crowd = Crowd{From: warmup + 10*time.Second, To: warmup + 40*time.Second, ExtraRate: 1}
		}),
	}
}
