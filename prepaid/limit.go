package prepaid

import "time"

// limitSchedule is the self-imposed bound that an incarnation publishes in a report: limits
// that grow from a base clock reading, and after ttl the ceilings alone.
//
// A node that loses the store keeps serving along the growing limits. Once the incarnation's
// maximum lifetime is known, so is the most that it can have used.
type limitSchedule struct {
	base ClockReading
	ttl  time.Duration
}

// growthDelay is how long limits stay constant: two reports and their answers. A node in
// contact with the store renews its limits before that, so growth only serves one that is not.
// Without the delay, a killed process that was back after two seconds had half a second more of
// its demand counted as used.
const growthDelay = 1200 * time.Millisecond

// limitRamp is the limit schedule of one account: initial tokens at once and, after
// growthDelay, growth more tokens each second.
type limitRamp struct{ initial, growth int64 }

// at returns the limit after an elapsed time, ignoring the ceiling.
func (r limitRamp) at(elapsed time.Duration) int64 {
	return r.initial + int64(float64(r.growth)*max(0, elapsed-growthDelay).Seconds())
}

// limit returns what may be used of an account at a clock reading.
func (s limitSchedule) limit(ramp limitRamp, ceiling int64, now ClockReading) int64 {
	elapsed := now.elapsedSince(s.base)
	if elapsed >= s.ttl {
		return ceiling
	}
	return min(ceiling, ramp.at(elapsed))
}
