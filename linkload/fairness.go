package linkload

import "time"

const (
	// maxGroups bounds the number of sizes, routes and accounts whose admissions are remembered. When it is exceeded, those
	// without a request for forgetAfter are forgotten.
	maxGroups   = 8192
	forgetAfter = 5 * time.Second
)

// group identifies requests that are treated alike: those of one size, route or account, or of one size of an account.
type group struct {
	kind byte
	// class is the size, name the route's or the account's, where kind has them.
	class int
	name  string
}

// The kinds of groups.
const (
	bySize byte = iota
	byRoute
	byAccount
	byAccountAndSize
)

// groupState is how the requests of a group fared.
type groupState struct {
	// credit is the number of admissions, with fractions, that the group is short of its minimum share.
	credit float64
	// deniedSince is when the first request was refused since the last admission; isDenied is false if none was.
	deniedSince time.Duration
	isDenied    bool
	askedAt     time.Duration
}

// debt is what is owed to the groups of a request.
type debt int

// The debts, in ascending order.
const (
	// noDebt: all groups have their minimum share.
	noDebt debt = iota
	// shareDebt: a group is short of its minimum share.
	shareDebt
	// timeDebt: a group was denied for too long.
	timeDebt
)

// fairness keeps the minimum share of each group.
type fairness struct {
	groups map[group]*groupState
}

// ask records that a request of some groups came, and returns what is owed to them.
func (f *fairness) ask(now time.Duration, s *Settings, groups []group) debt {
	owed := noDebt
	for _, g := range groups {
		state := f.state(now, g)
		if state == nil {
			continue
		}
		state.askedAt = now
		state.credit = min(1, state.credit+s.MinShare)
		switch {
		case state.isDenied && now-state.deniedSince >= s.MaxDenied:
			owed = timeDebt
		case state.credit >= 1:
			owed = max(owed, shareDebt)
		}
	}
	return owed
}

// decided records what became of the request.
func (f *fairness) decided(now time.Duration, groups []group, admitted bool) {
	for _, g := range groups {
		state := f.groups[g]
		switch {
		case state == nil:
		case admitted:
			state.credit, state.isDenied = max(0, state.credit-1), false
		case !state.isDenied:
			state.deniedSince, state.isDenied = now, true
		}
	}
}

// state returns a group's state; nil if there are too many groups.
func (f *fairness) state(now time.Duration, g group) *groupState {
	if state, ok := f.groups[g]; ok {
		return state
	}
	if len(f.groups) >= maxGroups {
		f.forget(now)
		if len(f.groups) >= maxGroups {
			return nil
		}
	}
	state := &groupState{}
	f.groups[g] = state
	return state
}

func (f *fairness) forget(now time.Duration) {
	for g, state := range f.groups {
		if now-state.askedAt >= forgetAfter {
			delete(f.groups, g)
		}
	}
}
