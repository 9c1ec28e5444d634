package prepaid

import "time"

// promise is what a report says that its incarnation holds itself to: limits that grow
// from a reading of the clocks on, and the ceilings alone once opensAfter has passed.
//
// A node that loses the store goes on serving along the growing limits. Whoever later
// knows how long the incarnation can have lived at most, knows what it can have used.
type promise struct {
	from       ClockReading
	opensAfter time.Duration
}

// growsAfter is how long limits stay as they are, two reports and their answers: a node in touch with the store makes
// the next promise before, so that growth only serves one that is not. Without this pause
// a process that was killed and is back after two seconds had half a second more of its
// demand counted as used.
const growsAfter = 1200 * time.Millisecond

// pledge is a promise's part for one account: drawn tokens at once, and after growsAfter
// pace tokens more with each second.
type pledge struct{ drawn, pace int64 }

// bound returns the limit after a time, without the ceiling.
func (p pledge) bound(after time.Duration) int64 {
	return p.drawn + int64(float64(p.pace)*max(0, after-growsAfter).Seconds())
}

// limit returns what a line may use at a reading of the clocks.
func (p promise) limit(of pledge, ceiling int64, now ClockReading) int64 {
	after := now.since(p.from)
	if after >= p.opensAfter {
		return ceiling
	}
	return min(ceiling, of.bound(after))
}
