package admission

import "time"

// waitPolicy determines how long requests may wait: long during a burst, briefly while there is
// a standing queue, except for accounts below their share. If their requests expired as fast as
// the rest, fair queueing would have nothing to choose from, and one account's flood would
// cause everybody's requests to be refused alike.
type waitPolicy struct {
	settings Settings
	standing bool
	// queuedSince is when the queue last became non-empty.
	queuedSince time.Time
	lastRefusal time.Time
}

func newWaitPolicy(s Settings) waitPolicy { return waitPolicy{settings: s} }

// maxWait returns the longest time that a request may wait now.
func (p *waitPolicy) maxWait(belowShare bool) time.Duration {
	if p.standing && !belowShare {
		return p.settings.StandingWait
	}
	return p.settings.MaxWait
}

// queueStarted records that the queue became non-empty.
func (p *waitPolicy) queueStarted(now time.Time) { p.queuedSince = now }

// noteRefusal records that a request was refused for lack of time or room.
func (p *waitPolicy) noteRefusal(now time.Time) { p.lastRefusal = now }

// observe updates the standing state; it is called at a fixed interval.
func (p *waitPolicy) observe(now time.Time, waiting bool) {
	switch {
	case !p.standing:
		p.standing = waiting && now.Sub(p.queuedSince) >= p.settings.StandingAfter
	case now.Sub(p.lastRefusal) >= p.settings.ClearAfter:
		p.standing = false
	}
}
