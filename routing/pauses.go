package routing

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// pauses holds until when upstreams want no requests from this node. It is immutable and
// replaced as a whole. It isn't part of a table, so that it outlasts changes of the
// configuration.
type pauses struct {
	// until is by address: upstreams of several services may share an address, and at another
	// address is another process. The times are monotonic, so that a step of the clock neither
	// ends a pause nor prolongs it.
	until map[string]time.Time
	// last is the latest end.
	last time.Time
}

// pauseKey returns the key of an upstream in pauses.until.
func pauseKey(u *operatorv1.Upstream) string {
	if address := u.GetAddress(); address != "" {
		return address
	}
	return u.GetName()
}

// active returns the pauses if any of them hasn't ended, otherwise nil.
func (p *pauses) active(now time.Time) *pauses {
	if p == nil || !p.last.After(now) {
		return nil
	}
	return p
}

// left returns how much is left of an upstream's pause; p may be nil.
func (p *pauses) left(key string, now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	return max(0, p.until[key].Sub(now))
}

// with returns the pauses with another one, without those that have ended.
func (p *pauses) with(key string, until, now time.Time) *pauses {
	next := &pauses{until: map[string]time.Time{key: until}, last: until}
	if p == nil {
		return next
	}
	for other, end := range p.until {
		if !end.After(now) || other == key {
			continue
		}
		next.until[other] = end
		if end.After(next.last) {
			next.last = end
		}
	}
	return next
}

// Pause keeps requests from an upstream for a time. It doesn't shorten an earlier pause. It
// returns true if the upstream wasn't paused.
func (b *Balancer) Pause(u *operatorv1.Upstream, d time.Duration) bool {
	now, key := b.clock.Now(), pauseKey(u)
	for {
		before := b.pauses.Load()
		left := before.left(key, now)
		if left >= d {
			return false
		}
		if b.pauses.CompareAndSwap(before, before.with(key, now.Add(d), now)) {
			return left == 0
		}
	}
}

// PauseLeft returns how much is left of an upstream's pause; 0 for none.
func (b *Balancer) PauseLeft(u *operatorv1.Upstream) time.Duration {
	now := b.clock.Now()
	active := b.pauses.Load().active(now)
	if active == nil {
		return 0
	}
	return active.left(pauseKey(u), now)
}

// CheckPauses returns a NoUpstream error if all upstreams that could get a request are paused.
func (b *Balancer) CheckPauses(service string, candidates []*operatorv1.Upstream) error {
	now := b.clock.Now()
	active := b.pauses.Load().active(now)
	if active == nil {
		return nil
	}
	var earliest time.Duration
	for _, u := range candidates {
		if u.GetDraining() {
			continue
		}
		left := active.left(pauseKey(u), now)
		if left == 0 {
			return nil
		}
		if earliest == 0 || left < earliest {
			earliest = left
		}
	}
	if earliest == 0 {
		return nil
	}
	return allPausedError(service, earliest)
}

// allPausedError returns the error of a request whose upstreams all asked this node for a pause.
// Its caller isn't kept away for longer than usual: other nodes may not be paused.
func allPausedError(service string, earliest time.Duration) error {
	return result.New(result.NoUpstream, "all upstreams of %s asked for a pause, the first until in %s", service, earliest.Round(time.Millisecond)).
		WithRetryAfter(min(earliest, noUpstreamRetryAfter)).WithPause(earliest)
}
