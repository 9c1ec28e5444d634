package budget

import (
	"sort"
	"time"

	"github.com/juju/errors"
)

// Policy is a deployment's trade-off between few refusals during failures and few tokens that a
// failure makes unusable.
type Policy struct {
	Name string
	// SpendRight is how long a node may spend after its last heartbeat in the log: the longest
	// partition or outage it survives, and how long a crash freezes its shares before recovery
	// begins.
	SpendRight time.Duration
	// Window is the time over which consumption is averaged.
	Window time.Duration
	// Horizon is how far ahead of their use a node holds tokens. They are what it can spend
	// while the log is unreachable, and what its crash freezes.
	Horizon time.Duration
	// Idle is how long a node keeps tokens in excess of that before it returns them.
	Idle time.Duration
	// ReturnScarce makes idle nodes return their tokens of a budget that runs short. A crash
	// then freezes fewer of them, but during an outage the pool is unreachable.
	ReturnScarce bool
	// WitnessRequired refuses requests that can't be recorded on another node, even while the
	// log is reachable. Without the log they are always refused.
	WitnessRequired bool
	// LostAfter is how long recovery waits for nodes that may know what a closed incarnation
	// spent, before it writes off the rest.
	LostAfter time.Duration
}

// Endurance keeps serving through long partitions and outages, with few false refusals.
var Endurance = Policy{
	Name: "endurance", SpendRight: 2 * time.Hour, Window: 5 * time.Minute, Horizon: 2 * time.Hour, Idle: 2 * time.Hour,
	LostAfter: 24 * time.Hour,
}

// Thrift keeps few tokens frozen and spends none that only one node knows of.
var Thrift = Policy{
	Name: "thrift", SpendRight: 15 * time.Minute, Window: time.Minute, Horizon: 2 * time.Minute, Idle: 5 * time.Minute,
	ReturnScarce: true, WitnessRequired: true, LostAfter: 24 * time.Hour,
}

// Policies returns all policies by name.
func Policies() map[string]Policy {
	return map[string]Policy{Endurance.Name: Endurance, Thrift.Name: Thrift}
}

// PolicyByName returns the policy with the given name.
func PolicyByName(name string) (Policy, error) {
	policy, known := Policies()[name]
	if !known {
		return Policy{}, errors.NotFoundf("budget policy %q (known: %v)", name, policyNames())
	}
	return policy, nil
}

func policyNames() []string {
	var names []string
	for name := range Policies() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
