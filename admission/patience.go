package admission

import "time"

// patience tells how long requests may wait: long in a burst, briefly while a queue
// stands, unless the account has had less than its share. Fair queueing would have
// nothing to choose from if those had to leave as fast as the rest, and a flood of one
// account would turn away everybody's requests alike.
type patience struct {
	settings Settings
	standing bool
	// since is when the present run of waiting requests began.
	since       time.Time
	lastRefusal time.Time
}

func newPatience(s Settings) patience { return patience{settings: s} }

// wait returns the longest that a request may wait now.
func (p *patience) wait(light bool) time.Duration {
	if p.standing && !light {
		return p.settings.StandingWait
	}
	return p.settings.MaxWait
}

// began tells that a request waits after a time when none did.
func (p *patience) began(now time.Time) { p.since = now }

// refused tells that a request was refused for want of time or room.
func (p *patience) refused(now time.Time) { p.lastRefusal = now }

// observe is called at a steady interval.
func (p *patience) observe(now time.Time, waiting bool) {
	switch {
	case !p.standing:
		p.standing = waiting && now.Sub(p.since) >= p.settings.StandingAfter
	case now.Sub(p.lastRefusal) >= p.settings.ClearAfter:
		p.standing = false
	}
}
