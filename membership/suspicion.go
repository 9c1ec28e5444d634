package membership

import "time"

const (
	// isolatedAfter is how long without any answer a node takes itself as cut off.
	isolatedAfter = 6 * time.Second
	// firstFlap is the number of returns from which on a member has to settle.
	firstFlap = 2
	// maxSettle bounds the time for which a flapping member is left out.
	maxSettle = time.Minute
	// calmAfter is how long without a return halves the count of returns.
	calmAfter = 2 * time.Minute
)

// isolate suspects everybody while nobody answers: only the neighbours are pinged,
// and of the others nothing is known any more. It is this node that is cut off, so
// the suspicion is kept private.
func (t *Table) isolate(now time.Time) {
	if !t.alone(now) {
		return
	}
	for _, m := range t.members {
		if !m.Suspect {
			t.suspect(m)
			t.keepPrivate(m)
		}
	}
}

// alone tells that no member has answered for a while.
func (t *Table) alone(now time.Time) bool { return now.Sub(t.answered) > isolatedAfter }

// keepPrivate holds a suspicion back from others. Were it passed on once this node is
// back, it would take the whole fleet out of the addresses.
func (t *Table) keepPrivate(m *Member) {
	m.private = true
	m.news = 0
}

func (t *Table) settle(now time.Time) {
	for _, m := range t.members {
		m.Damped = now.Before(m.settles)
		if m.flaps > 0 && !m.Suspect && now.Sub(m.settles) > calmAfter {
			m.flaps /= 2
			m.settles = now
		}
	}
}

// returned ends a suspicion. A member that keeps coming and going is left out for
// longer each time; its callers would be refused every time it goes.
func (t *Table) returned(now time.Time, m *Member) {
	m.Suspect = false
	t.note(Joined, m.Node.GetIncarnation())
	if m.private {
		m.private = false
		return
	}
	m.flaps++
	if m.flaps > firstFlap {
		m.settles = now.Add(min(time.Second<<min(m.flaps, 10), maxSettle))
		m.Damped = true
	} else {
		m.settles = now
	}
}

// ProbeFailed takes in that a member answered neither this node nor the helpers, in an
// attempt that began at started. It returns whether that is news.
func (t *Table) ProbeFailed(now, started time.Time, incarnation string) bool {
	m := t.members[incarnation]
	if m == nil || m.Suspect || !m.heard.Before(started) {
		return false
	}
	// An attempt during which this process stood says nothing of the other one.
	if started.Before(t.woke) || now.Sub(started) > stall {
		return false
	}
	t.suspect(m)
	// While nobody else answers either, this node itself may be cut off.
	if now.Sub(t.answered) > trustDirect {
		t.keepPrivate(m)
		return false
	}
	return true
}

func (t *Table) suspect(m *Member) {
	m.Suspect = true
	m.news = t.spread()
	t.note(Suspected, m.Node.GetIncarnation())
}
