package routing

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/admission"
	"lavenderpin.dev/lavenderpin/routing"
)

// Policy is one way to choose and to admit.
type Policy struct {
	Name string
	// Picker returns a node's picker.
	Picker func(clock clockwork.Clock, random *rand.Rand) routing.Picker
	// Admission returns the settings of the admission core in front, for so many slots
	// per node; nil for none.
	Admission func(slots int) admission.Settings
	// RetryBudget bounds retries.
	RetryBudget bool
	// Priorities are told to the engines.
	Priorities bool
}

// feed is what a picker may want to hear.
type feed interface {
	Report(service, upstream string, report routing.LoadReport)
	CacheEvents(service, upstream string, events []routing.CacheEvent)
}

// pressured tells how full the engines are.
type pressured interface {
	Pressure(service, region string) (here, elsewhere routing.Pressure)
	LimitLocal(service string, limit int)
}

// OwnPolicy is the name of the policy that nodes run.
const OwnPolicy = "lavenderpin"

// Policies returns ours first, then the baselines, then the baselines behind our
// admission, which tells apart what the choice and what the admission brings.
func Policies() []Policy {
	list := []Policy{
		{Name: OwnPolicy, Picker: newBalancer, Admission: admission.DefaultSettings, RetryBudget: true, Priorities: true},
		{Name: "lavenderpin without admission", Picker: newBalancer, RetryBudget: true},
	}
	list = append(list, baselines("", nil)...)
	return append(list, baselines(" + admission", admission.DefaultSettings)...)
}

// greedy admits as much as keeps the engines busiest, whatever the wait. It shows what
// the engines can complete, so that the capacity doesn't hang on how cautious the
// admission of Ours is.
func greedy() Policy {
	return Policy{Name: "lavenderpin for throughput only", Picker: newBalancer, RetryBudget: true,
		Admission: func(slots int) admission.Settings {
			s := admission.DefaultSettings(slots)
			s.TargetWaitingRatio = greedyWaitingShare
			s.MaxWait = greedyMaxWait
			s.StandingWait = greedyMaxWait
			return s
		}}
}

const (
	greedyWaitingShare = 0.1
	greedyMaxWait      = 3 * time.Second
)

func newBalancer(clock clockwork.Clock, random *rand.Rand) routing.Picker {
	return routing.NewBalancer(routing.DefaultSettings(), clock, random.Uint64, nil)
}

func baselines(suffix string, admit func(slots int) admission.Settings) []Policy {
	simple := func(name string, choose chooser) Policy {
		return Policy{Name: name + suffix, Admission: admit, Picker: func(_ clockwork.Clock, random *rand.Rand) routing.Picker {
			return newBaseline(random, choose)
		}}
	}
	return []Policy{
		simple("random", chooseRandom),
		simple("round robin", chooseInTurn),
		simple("least reported load", chooseLeastReported),
		simple("cache only", chooseMostCached),
	}
}
