package routing

import (
	"math/rand/v2"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/routing"
)

// Policy is one way to choose and to admit.
type Policy struct {
	Name string
	// Picker returns a node's picker.
	Picker func(clock clockwork.Clock, random *rand.Rand) routing.Picker
	// Admission puts the admission core in front.
	Admission bool
	// RetryBudget bounds retries.
	RetryBudget bool
}

// feed is what a picker may want to hear.
type feed interface {
	Report(service, upstream string, report routing.LoadReport)
	CacheEvents(service, upstream string, events []routing.CacheEvent)
}

// pressured tells how full the engines are.
type pressured interface {
	Pressure(service, region string) (waiting, slots float64)
}

// Ours is the name of the policy that nodes run.
const Ours = "lavenderpin"

// Policies returns ours first, then the baselines, then the baselines behind our
// admission, which tells apart what the choice and what the admission brings.
func Policies() []Policy {
	ours := func(clock clockwork.Clock, random *rand.Rand) routing.Picker {
		return routing.NewBalancer(routing.DefaultSettings(), clock, random.Uint64, nil)
	}
	list := []Policy{
		{Name: Ours, Picker: ours, Admission: true, RetryBudget: true},
		{Name: "lavenderpin without admission", Picker: ours, RetryBudget: true},
	}
	list = append(list, baselines("", false)...)
	return append(list, baselines(" + admission", true)...)
}

func baselines(suffix string, admission bool) []Policy {
	simple := func(name string, choose chooser) Policy {
		return Policy{Name: name + suffix, Admission: admission, Picker: func(_ clockwork.Clock, random *rand.Rand) routing.Picker {
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
