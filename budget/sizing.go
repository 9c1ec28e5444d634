package budget

import (
	"math"
	"time"
)

const (
	// claimDivisor limits one claim ahead of demand to pool/claimDivisor, so that a fast node
	// can't leave nothing for the others.
	claimDivisor = 2
	// scarceRequests defines scarcity: a budget is scarce when fewer than this many of the
	// node's largest requests remain per open node. Nodes then hold no idle tokens.
	scarceRequests = 4
	// minClaim is the least that a node claims ahead of demand, in tokens.
	minClaim = 64
)

// SizingInput is one node's current view of one budget.
type SizingInput struct {
	Budget string
	// Available is the unreserved part of the node's own share, Used the tokens billed since
	// the node started, Shortfall the tokens requested since the last step that the share
	// didn't cover.
	Available, Used, Shortfall uint64
	// Pool is what no node holds, Remaining what is unsettled across the fleet.
	Pool, Remaining uint64
	// Nodes is the number of open nodes.
	Nodes int
}

// SizingAction is a sizing decision; at most one of the amounts is set.
type SizingAction struct {
	Budget string
	// Claim is the amount to claim from the pool, Return the amount to return to it, and Ask
	// the amount to request from a peer.
	Claim, Return, Ask uint64
}

// SizingState is the per-budget state kept between sizing steps.
type SizingState struct {
	// Rate is the consumption in tokens per second, averaged over the policy's window.
	Rate float64
	// PeakShortfall is the largest recent shortfall; it decays over the window.
	PeakShortfall float64

	used        uint64
	last        time.Time
	excessSince time.Time
}

// SizeShare decides on one budget. It is deterministic: its arguments and the state, which it
// updates, determine the result.
//
// The target is the expected consumption within the policy's horizon. The node claims when it
// holds less than half the target, and returns the excess once it has held more than twice the
// target for longer than the policy's idle time. While the budget is scarce it claims nothing
// ahead, since the last tokens are most useful where requests can claim them, and under some
// policies it returns its idle tokens.
func SizeShare(policy Policy, state *SizingState, input SizingInput, now time.Time) SizingAction {
	state.observe(policy, input, now)
	action := SizingAction{Budget: input.Budget}
	target := uint64(math.Ceil(state.Rate*policy.Horizon.Seconds() + state.PeakShortfall))
	scarce := input.Remaining < uint64(scarceRequests*max(1, input.Nodes))*uint64(max(state.PeakShortfall, minClaim))
	if scarce {
		target = 0
	}
	switch {
	case input.Available < target/2 && input.Pool > 0:
		action.Claim = claimSize(target-input.Available, input.Pool)
	case input.Shortfall > 0 && input.Pool == 0 && !scarce:
		action.Ask = max(target, input.Shortfall)
	case scarce && policy.ReturnScarce && state.Rate == 0 && input.Shortfall == 0:
		action.Return = input.Available
	case !scarce && input.Available > 2*target+minClaim:
		if state.excessSince.IsZero() {
			state.excessSince = now
		}
		if now.Sub(state.excessSince) >= policy.Idle {
			action.Return = input.Available - target
		}
		return action
	}
	state.excessSince = time.Time{}
	return action
}

// claimSize leaves the last tokens of the pool to requests, which claim exactly what they need.
func claimSize(wanted, pool uint64) uint64 {
	if pool < claimDivisor*minClaim {
		return 0
	}
	return min(wanted, pool/claimDivisor)
}

// observe updates the averages. Rates that have decayed to nearly zero become zero.
func (s *SizingState) observe(policy Policy, input SizingInput, now time.Time) {
	if s.last.IsZero() {
		s.used, s.last = input.Used, now
	}
	elapsed := now.Sub(s.last).Seconds()
	if elapsed > 0 {
		decay := math.Exp(-elapsed / policy.Window.Seconds())
		s.Rate = s.Rate*decay + float64(input.Used-s.used)/elapsed*(1-decay)
		s.PeakShortfall *= decay
	}
	s.PeakShortfall = max(s.PeakShortfall, float64(input.Shortfall))
	if s.Rate*policy.Window.Seconds() < 1 {
		s.Rate = 0
	}
	if s.PeakShortfall < 1 {
		s.PeakShortfall = 0
	}
	s.used, s.last = input.Used, now
}
