package throttle

import "time"

const (
	// defaultTurnLength is how long a turn to send is kept if many nodes send. A turn that no request took is lost:
	// kept for longer, the turns of all nodes would be taken at the same moment when a crowd comes.
	defaultTurnLength = time.Second
	// toleratedBurst is how many requests beyond its limit an upstream bears at a moment. Beside a second's
	// requests, so many nodes may each keep a turn until they need it.
	toleratedBurst = 5
	// minPerSecond is the least rate of all nodes together. With none at all, nobody would learn that an
	// upstream takes requests again.
	minPerSecond = 0.05
	// maxInterval bounds the time between two requests of one node.
	maxInterval = time.Hour
)

// Part is a node's part of the requests to an upstream.
type Part struct {
	// Share is its share, from 0 to 1, of what all nodes send.
	Share float64
	// Senders is the number of nodes that send.
	Senders int
}

// minKeeperShare is the least share of a node that keeps its turns, compared with that of the senders on average. Nodes
// with less aren't counted as senders, and they may be many.
const minKeeperShare = 0.25

// keepsTurns reports whether the node keeps a turn until a request needs it.
func (p Part) keepsTurns(perSecond float64) bool {
	return float64(p.Senders) <= perSecond+toleratedBurst && p.Share*float64(p.Senders) >= minKeeperShare
}

// pace limits how often one node sends to an upstream that named how many requests a second it takes from all
// nodes together. Each node takes turns at its part of that rate. The zero value limits nothing.
type pace struct {
	limited   bool
	perSecond float64
	// keepsTurns is set if a turn is kept until it is taken, losesTurns if none ever is.
	keepsTurns, losesTurns bool
	// turnLength is how long a turn is kept otherwise.
	turnLength time.Duration
	// interval is the time between two turns of this node, nextAt the start of the next one.
	interval, nextAt time.Duration
	// heardAt is when an answer last named the limit.
	heardAt time.Duration
}

// name records that an answer named a limit, of which a part is this node's. random is a number from 0 to 1. It
// reports whether the limit is another than before.
func (p *pace) name(perSecond float64, part Part, now time.Duration, random float64) (changed bool) {
	changed = !p.limited || perSecond != p.perSecond
	p.perSecond, p.heardAt = perSecond, now
	if p.turnLength == 0 {
		p.turnLength = defaultTurnLength
	}
	if !p.limited { // the nodes hear of it together, but must not send together
		p.limited, p.interval = true, intervalOf(perSecond, part.Share)
		p.nextAt = now + time.Duration(random*float64(p.interval))
	}
	p.adjust(part, now)
	return changed
}

// adjust sets this node's part of the limit. What it has waited for its turn counts.
func (p *pace) adjust(part Part, now time.Duration) {
	interval := intervalOf(p.perSecond, part.Share)
	if p.nextAt > now {
		p.nextAt = now + time.Duration(float64(p.nextAt-now)*float64(interval)/float64(p.interval))
	}
	p.interval, p.keepsTurns = interval, !p.losesTurns && part.keepsTurns(p.perSecond)
}

func intervalOf(perSecond, share float64) time.Duration {
	seconds := 1 / (max(minPerSecond, perSecond) * share)
	return time.Duration(min(maxInterval.Seconds(), seconds) * float64(time.Second))
}

// clear records an answer that named no limit, to a request sent at a time, and reports whether there was
// one. An answer that overtook a later one is of no account.
func (p *pace) clear(sentAt time.Duration) (changed bool) {
	if !p.limited || sentAt <= p.heardAt {
		return false
	}
	p.limited = false
	return true
}

// wait returns how long this node has to wait for its turn.
func (p *pace) wait(now time.Duration) time.Duration {
	if !p.limited {
		return 0
	}
	p.skipLost(now)
	return max(0, p.nextAt-now)
}

// skipLost moves on to the turn that isn't lost yet.
func (p *pace) skipLost(now time.Duration) {
	lost := now - p.turnLength - p.nextAt
	if lost > 0 && p.interval > p.turnLength && !p.keepsTurns {
		p.nextAt += (lost + p.interval - 1) / p.interval * p.interval
	}
}

// take takes the turn. One that was taken late doesn't delay the next, but not more than one is made up for.
func (p *pace) take(now time.Duration) {
	if p.limited {
		p.nextAt = max(p.nextAt, now-min(p.interval, p.turnLength)) + p.interval
	}
}
