package prepaid

import "time"

// usage is a node's use of one client account, in tokens.
type usage struct {
	spent, reserved int64
	// reportedSpent and reportedCeiling are the values of spent and ceiling when the newest
	// limit schedule was made.
	reportedSpent, reportedCeiling int64
	ceiling                        int64
	// acked is the ramp in the last acknowledged report, latest the one in the newest report.
	acked, latest limitRamp
	// blocked is the sum of the requests since the last report that exceeded the current limit.
	// All of them wait for the next one.
	blocked int64
	// demand estimates the demand for the account.
	demand demandEstimate
	// remaining bounds what the fleet could still use when the account's total was prepaid.
	remaining, prepaid int64
	hasRemaining       bool
	// maxRequest is the largest request that the fleet admits, zero if all; bySize estimates the
	// demand that decides about it.
	maxRequest int64
	bySize     *sizeDemand
}

func (u *usage) setRemaining(line GrantLine) {
	u.remaining, u.prepaid, u.hasRemaining = line.Remaining, line.Prepaid, true
	u.maxRequest = line.MaxRequest
}

// addDemand adds a request of this node's own callers to the demand. A deferred one needs no tokens
// here: a lender that kept some for it would refuse smaller requests of other nodes.
func (u *usage) addDemand(tokens, prepaid int64, now, window time.Duration) {
	if !u.deferred(tokens, prepaid) {
		u.demand.add(tokens, now, window)
	}
	if u.bySize == nil {
		u.bySize = &sizeDemand{}
	}
	u.bySize.add(tokens, now, window)
}

// sizeRates returns the demand by size class.
func (u *usage) sizeRates(now, window time.Duration) []int64 {
	if u.bySize == nil {
		return nil
	}
	return u.bySize.rates(now, window)
}

// deferred reports whether what is left of the account is kept for smaller requests than one of tokens.
// After a top-up that the allocator hasn't seen, the limit no longer holds.
func (u *usage) deferred(tokens, prepaid int64) bool {
	return u.maxRequest > 0 && tokens > u.maxRequest && prepaid <= u.prepaid
}

// unchanged reports whether a new limit schedule would equal the newest one. A raised ceiling
// can't be used until it is reported: a node that lost the store just then could neither use
// nor lend it until its limits expired.
func (u *usage) unchanged() bool {
	return u.reserved == 0 && u.demand.rate < minReportedRate && u.spent == u.reportedSpent && u.ceiling <= u.reportedCeiling
}

func (u *usage) used() int64 { return u.spent + u.reserved }

// minReportedRate is the demand in tokens per second from which a node without an allocation of
// the account reports it: a tenth of the observed demand of callers that stick to one node.
const minReportedRate = 1_000

// idle reports whether the node has no allocation of the account, no use of it and only
// negligible demand for it.
func (u *usage) idle() bool {
	return u.demand.rate < minReportedRate && u.ceiling == 0 && u.used() == 0 && u.acked == (limitRamp{})
}

// ownDemand is what a lender keeps for its own callers.
func (u *usage) ownDemand() int64 { return int64(u.demand.rate * ownDemandTime.Seconds()) }

// limitRamp returns the account's ramp for a new limit schedule.
func (u *usage) limitRamp(s Settings) limitRamp {
	unused := float64(u.ceiling - u.used())
	headroom, growth := u.demand.rate*s.LimitHeadroom.Seconds(), u.demand.rate*s.GrowthFactor
	if u.nearEnd(s.NearEndFraction) {
		headroom, growth = min(headroom, unused*s.MaxHeadroomFraction), min(growth, unused/s.MinExhaustionTime.Seconds())
	}
	headroom = max(headroom, float64(s.MinHeadroom))
	growth = max(growth, min(unused, float64(s.MinCeiling))/s.IdleGrowthTime.Seconds())
	return limitRamp{initial: min(u.ceiling, u.used()+u.blocked+int64(headroom)), growth: int64(growth)}
}

// nearEnd reports whether no more than a fraction of the account's prepaid total is left.
func (u *usage) nearEnd(fraction float64) bool {
	return u.hasRemaining && float64(u.remaining) <= fraction*float64(u.prepaid)
}
