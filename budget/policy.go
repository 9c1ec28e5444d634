package budget

import (
	"sort"
	"time"

	"github.com/juju/errors"
)

// Policy is the one choice of a deployment between few refusals while something is
// broken and little money out of use meanwhile.
type Policy struct {
	Name string
	// SpendRight is how long a node may spend after its last heartbeat in the log:
	// the longest cut or outage that it rides out, and how long a crash freezes its
	// shares before recovery begins.
	SpendRight time.Duration
	// Window is over which time use is averaged.
	Window time.Duration
	// Horizon is for how long ahead of its use a node holds tokens. They are what it
	// can spend while the log is out of reach, and what its crash freezes.
	Horizon time.Duration
	// Idle is how long tokens beyond that stay before they are returned.
	Idle time.Duration
	// ReturnScarce makes nodes without use return what they hold of a budget that runs
	// short. A crash then freezes less of it; in an outage the pool is out of reach.
	ReturnScarce bool
	// WitnessRequired refuses requests that no other node could be told of, even while
	// the log is in reach. Without the log they are always refused.
	WitnessRequired bool
	// LostAfter is how long recovery waits for nodes that may know what a closed
	// incarnation spent, before it writes off the rest.
	LostAfter time.Duration
}

// Endurance keeps serving through long cuts and outages: few false refusals.
var Endurance = Policy{
	Name: "endurance", SpendRight: 2 * time.Hour, Window: 5 * time.Minute, Horizon: 2 * time.Hour, Idle: 2 * time.Hour,
	LostAfter: 24 * time.Hour,
}

// Thrift keeps little money frozen and spends nothing that only one node knows of.
var Thrift = Policy{
	Name: "thrift", SpendRight: 15 * time.Minute, Window: time.Minute, Horizon: 2 * time.Minute, Idle: 5 * time.Minute,
	ReturnScarce: true, WitnessRequired: true, LostAfter: 24 * time.Hour,
}

// Policies returns all policies by name.
func Policies() map[string]Policy {
	return map[string]Policy{Endurance.Name: Endurance, Thrift.Name: Thrift}
}

// PolicyByName returns a policy by its name.
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
