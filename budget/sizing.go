package budget

import (
	"math"
	"time"
)

const (
	// claimPart is the largest part of the pool that one claim ahead of demand takes,
	// so that a node that is quick can't leave the others without.
	claimPart = 2
	// scarceRequests: a budget is scarce when less than so many of the node's largest
	// requests are left per open node. No node then holds idle tokens.
	scarceRequests = 4
	// minClaim is the least that is claimed ahead of demand, in tokens.
	minClaim = 64
)

// BudgetDemand is what one node sees of one budget at a moment.
type BudgetDemand struct {
	Budget string
	// Available is unreserved in the own share, Used the tokens finished since the
	// node started, Lacked those wanted and not covered by the share since the last step.
	Available, Used, Lacked uint64
	// Pool is what no node holds, Remaining what isn't settled anywhere.
	Pool, Remaining uint64
	// Nodes is how many nodes are open.
	Nodes int
}

// SizingAction is what sizing wants done; one of the amounts is set.
type SizingAction struct {
	Budget string
	// Claim is to be claimed from the pool, Return to be returned to it, and Ask to be
	// asked from the peer that holds most.
	Claim, Return, Ask uint64
}

// SizingState is what sizing remembers of one budget between two steps.
type SizingState struct {
	// Rate is the use in tokens per second, averaged over the window.
	Rate float64
	// Largest is the largest lack seen lately; it fades over the window.
	Largest float64

	used        uint64
	last        time.Time
	excessSince time.Time
}

// SizeShare decides on one budget. It is a pure function of its arguments and state.
//
// The node holds what it uses in the policy's horizon. It claims when half of that
// is gone and returns what is beyond twice that for longer than the policy's idle
// time. While the budget is scarce it claims nothing ahead, as the last tokens are of
// most use where they can be claimed for a request, and by some policies returns
// what lies idle.
func SizeShare(policy Policy, state *SizingState, seen BudgetDemand, now time.Time) SizingAction {
	state.observe(policy, seen, now)
	action := SizingAction{Budget: seen.Budget}
	target := uint64(math.Ceil(state.Rate*policy.Horizon.Seconds() + state.Largest))
	scarce := seen.Remaining < uint64(scarceRequests*max(1, seen.Nodes))*uint64(max(state.Largest, minClaim))
	if scarce {
		target = 0
	}
	switch {
	case seen.Available < target/2 && seen.Pool > 0:
		action.Claim = claimSize(target-seen.Available, seen.Pool)
	case seen.Lacked > 0 && seen.Pool == 0 && !scarce:
		action.Ask = max(target, seen.Lacked)
	case scarce && policy.ReturnScarce && state.Rate == 0 && seen.Lacked == 0:
		action.Return = seen.Available
	case !scarce && seen.Available > 2*target+minClaim:
		if state.excessSince.IsZero() {
			state.excessSince = now
		}
		if now.Sub(state.excessSince) >= policy.Idle {
			action.Return = seen.Available - target
		}
		return action
	}
	state.excessSince = time.Time{}
	return action
}

// claimSize leaves the pool's last tokens to requests, which claim what they need.
func claimSize(wanted, pool uint64) uint64 {
	if pool < claimPart*minClaim {
		return 0
	}
	return min(wanted, pool/claimPart)
}

// observe updates the averages. Rates that have all but faded read as zero.
func (s *SizingState) observe(policy Policy, seen BudgetDemand, now time.Time) {
	if s.last.IsZero() {
		s.used, s.last = seen.Used, now
	}
	elapsed := now.Sub(s.last).Seconds()
	if elapsed > 0 {
		keep := math.Exp(-elapsed / policy.Window.Seconds())
		s.Rate = s.Rate*keep + float64(seen.Used-s.used)/elapsed*(1-keep)
		s.Largest *= keep
	}
	s.Largest = max(s.Largest, float64(seen.Lacked))
	if s.Rate*policy.Window.Seconds() < 1 {
		s.Rate = 0
	}
	if s.Largest < 1 {
		s.Largest = 0
	}
	s.used, s.last = seen.Used, now
}
