package prepaid

import (
	"math"
	"time"
)

// line is a node's own account of one client account, in tokens.
type line struct {
	spent, held int64
	// reported is what the newest promise told as spent, promised the ceiling that it was
	// made under.
	reported, promised int64
	ceiling            int64
	// acked is the part in the last acknowledged report, composed the part in the newest
	// one that was made.
	acked, composed pledge
	// wish is the largest request that the drawn limit was too low for since the last
	// report.
	wish int64
	// rate is the demand in tokens a second as of rateAt.
	rate   float64
	rateAt time.Duration
	// left bounds what the fleet could still use when the account had prepaid prepaid.
	left, prepaid int64
	hasLeft       bool
}

// calm tells that a new promise would be what the newest one is. A ceiling raised since is
// out of reach until it is promised: a node that lost the store just then could neither use
// nor lend it until its ceilings alone bound it.
func (l *line) calm() bool {
	return l.held == 0 && l.rate < busyRate && l.spent == l.reported && l.ceiling <= l.promised
}

func (l *line) used() int64 { return l.spent + l.held }

// busyRate is the demand in tokens a second from which on a node without a part of the
// account reports it: a tenth of what callers who stick to one node were seen to want.
const busyRate = 1_000

// idle tells that the node holds nothing of the account, used nothing of it and has no
// callers to speak of who want some.
func (l *line) idle() bool {
	return l.rate < busyRate && l.ceiling == 0 && l.used() == 0 && l.acked == (pledge{})
}

// demand adds a request's largest use to the demand estimate.
func (l *line) demand(tokens int64, now, window time.Duration) {
	l.decay(now, window)
	l.rate += float64(tokens) / window.Seconds()
}

func (l *line) decay(now, window time.Duration) {
	if passed := now - l.rateAt; passed > 0 {
		l.rate *= math.Exp(-passed.Seconds() / window.Seconds())
	}
	l.rateAt = now
}

// ownNeed is what a lender keeps for its own callers.
func (l *line) ownNeed() int64 { return int64(l.rate * lendSpare.Seconds()) }

// pledge is the line's part in a new promise.
func (l *line) pledge(s Settings) pledge {
	ahead := max(s.MinHeadroom, l.wish, int64(l.rate*s.LimitHeadroom.Seconds()))
	pace := max(l.rate*s.GrowthFactor, float64(l.ceiling-l.used())/s.IdleGrowthTime.Seconds())
	return pledge{drawn: min(l.ceiling, l.used()+ahead), pace: int64(pace)}
}
