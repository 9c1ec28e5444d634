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

// SizingInput is what one node sees of one budget at a moment.
type SizingInput struct {
	Budget string
	// Available is unreserved in the own share, Used the tokens finished since the
	// node started, Shortfall those wanted and not covered by the share since the last step.
	Available, Used, Shortfall uint64
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
	// PeakShortfall is the largest lack seen lately; it fades over the window.
	PeakShortfall float64

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
func SizeShare(policy Policy, state *SizingState, seen SizingInput, now time.Time) SizingAction {
	state.observe(policy, seen, now)
	action := SizingAction{Budget: seen.Budget}
	target := uint64(math.Ceil(state.Rate*policy.Horizon.Seconds() + state.PeakShortfall))
	scarce := seen.Remaining < uint64(scarceRequests*max(1, seen.Nodes))*uint64(max(state.PeakShortfall, minClaim))
	if scarce {
		target = 0
	}
	switch {
	case seen.Available < target/2 && seen.Pool > 0:
		action.Claim = claimSize(target-seen.Available, seen.Pool)
	case seen.Shortfall > 0 && seen.Pool == 0 && !scarce:
		action.Ask = max(target, seen.Shortfall)
	case scarce && policy.ReturnScarce && state.Rate == 0 && seen.Shortfall == 0:
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
func (s *SizingState) observe(policy Policy, seen SizingInput, now time.Time) {
	if s.last.IsZero() {
		s.used, s.last = seen.Used, now
	}
	elapsed := now.Sub(s.last).Seconds()
	if elapsed > 0 {
		keep := math.Exp(-elapsed / policy.Window.Seconds())
		s.Rate = s.Rate*keep + float64(seen.Used-s.used)/elapsed*(1-keep)
		s.PeakShortfall *= keep
	}
	s.PeakShortfall = max(s.PeakShortfall, float64(seen.Shortfall))
	if s.Rate*policy.Window.Seconds() < 1 {
		s.Rate = 0
	}
	if s.PeakShortfall < 1 {
		s.PeakShortfall = 0
	}
	s.used, s.last = seen.Used, now
}
