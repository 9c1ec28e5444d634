package prepaid

import (
	"math"
	"time"
)

// usage is a node's use of one client account, in tokens.
type usage struct {
	spent, reserved int64
	// reportedSpent and reportedCeiling are the values of spent and ceiling when the newest
	// limit schedule was made.
	reportedSpent, reportedCeiling int64
	ceiling                        int64
	// acked is the ramp in the last acknowledged report, latest the one in the newest report.
	acked, latest limitRamp
	// largestBlocked is the largest request since the last report that exceeded the current
	// limit.
	largestBlocked int64
	// demandRate is the demand in tokens per second as of demandRateAt.
	demandRate   float64
	demandRateAt time.Duration
	// remaining bounds what the fleet could still use when the account's total was prepaid.
	remaining, prepaid int64
	hasRemaining       bool
}

// unchanged reports whether a new limit schedule would equal the newest one. A raised ceiling
// can't be used until it is reported: a node that lost the store just then could neither use
// nor lend it until its limits expired.
func (u *usage) unchanged() bool {
	return u.reserved == 0 && u.demandRate < minReportedRate && u.spent == u.reportedSpent && u.ceiling <= u.reportedCeiling
}

func (u *usage) used() int64 { return u.spent + u.reserved }

// minReportedRate is the demand in tokens per second from which a node without an allocation of
// the account reports it: a tenth of the observed demand of callers that stick to one node.
const minReportedRate = 1_000

// idle reports whether the node has no allocation of the account, no use of it and only
// negligible demand for it.
func (u *usage) idle() bool {
	return u.demandRate < minReportedRate && u.ceiling == 0 && u.used() == 0 && u.acked == (limitRamp{})
}

// addDemand adds a request's maximum use to the demand estimate.
func (u *usage) addDemand(tokens int64, now, window time.Duration) {
	u.decayDemand(now, window)
	u.demandRate += float64(tokens) / window.Seconds()
}

func (u *usage) decayDemand(now, window time.Duration) {
	if elapsed := now - u.demandRateAt; elapsed > 0 {
		u.demandRate *= math.Exp(-elapsed.Seconds() / window.Seconds())
	}
	u.demandRateAt = now
}

// ownDemand is what a lender keeps for its own callers.
func (u *usage) ownDemand() int64 { return int64(u.demandRate * ownDemandTime.Seconds()) }

// limitRamp returns the account's ramp for a new limit schedule.
func (u *usage) limitRamp(s Settings) limitRamp {
	headroom := max(s.MinHeadroom, u.largestBlocked, int64(u.demandRate*s.LimitHeadroom.Seconds()))
	growth := max(u.demandRate*s.GrowthFactor, float64(u.ceiling-u.used())/s.IdleGrowthTime.Seconds())
	return limitRamp{initial: min(u.ceiling, u.used()+headroom), growth: int64(growth)}
}
