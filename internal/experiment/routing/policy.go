package routing

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/admission"
	"lavenderpin.dev/lavenderpin/routing"
)

// Policy combines an upstream picker with admission control.
type Policy struct {
	Name string
	// Picker returns a new picker for a node.
	Picker func(clock clockwork.Clock, random *rand.Rand) routing.Picker
	// Admission returns the settings of the admission scheduler for the given number of
	// slots per node; nil disables admission control.
	Admission func(slots int) admission.Settings
	// RetryBudget limits retries by a budget.
	RetryBudget bool
	// Priorities passes request priorities on to the engines.
	Priorities bool
}

// reportReceiver is implemented by pickers that use load reports and cache events.
type reportReceiver interface {
	Report(service, upstream string, report routing.LoadReport)
	CacheEvents(service, upstream string, events []routing.CacheEvent)
}

// pressureReporter is implemented by pickers that report how loaded the engines are.
type pressureReporter interface {
	Pressure(service, region string) (here, elsewhere routing.Pressure)
	LimitLocal(service string, limit int)
}

// OwnPolicy is the name of the policy used in production.
const OwnPolicy = "lavenderpin"

// Policies returns the own policy with and without admission control, then the baselines,
// then the baselines with the own admission control. The last separate the effect of
// upstream selection from that of admission.
func Policies() []Policy {
	list := []Policy{
		{Name: OwnPolicy, Picker: newBalancer, Admission: admission.DefaultSettings, RetryBudget: true, Priorities: true},
		{Name: "lavenderpin without admission", Picker: newBalancer, RetryBudget: true},
	}
	list = append(list, baselinePolicies("", nil)...)
	return append(list, baselinePolicies(" + admission", admission.DefaultSettings)...)
}

// greedyPolicy admits enough requests to maximize throughput, regardless of latency. It
// shows what the engines can complete, so that the measured capacity doesn't depend on how
// cautious the admission control of OwnPolicy is.
func greedyPolicy() Policy {
	return Policy{Name: "lavenderpin for throughput only", Picker: newBalancer, RetryBudget: true,
		Admission: func(slots int) admission.Settings {
			s := admission.DefaultSettings(slots)
			s.TargetWaitingRatio = greedyWaitingRatio
			s.MaxWait = greedyMaxWait
			s.StandingWait = greedyMaxWait
			return s
		}}
}

const (
	greedyWaitingRatio = 0.1
	greedyMaxWait      = 3 * time.Second
)

func newBalancer(clock clockwork.Clock, random *rand.Rand) routing.Picker {
	return routing.NewBalancer(routing.DefaultSettings(), clock, random.Uint64, nil)
}

func baselinePolicies(suffix string, admit func(slots int) admission.Settings) []Policy {
	newPolicy := func(name string, choose chooseFunc) Policy {
		return Policy{Name: name + suffix, Admission: admit, Picker: func(_ clockwork.Clock, random *rand.Rand) routing.Picker {
			return newBaseline(random, choose)
		}}
	}
	return []Policy{
		newPolicy("random", chooseRandom),
		newPolicy("round robin", chooseRoundRobin),
		newPolicy("least reported load", chooseLeastLoaded),
		newPolicy("cache only", chooseMostCached),
	}
}
