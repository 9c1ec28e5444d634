package membership

import "time"

const (
	// isolationTimeout is the time without any answer after which a node considers itself
	// isolated.
	isolationTimeout = 6 * time.Second
	// maxUndampedFlaps is the number of flaps above which a member is damped.
	maxUndampedFlaps = 2
	// maxDamping bounds how long a flapping member is damped.
	maxDamping = time.Minute
	// flapDecayInterval is the time without a flap after which the flap count is halved.
	flapDecayInterval = 2 * time.Minute
)

// suspectAllWhenIsolated suspects all members while none answers: only the neighbours are
// pinged, so the state of the others is unknown. As it is this node that is cut off, the
// suspicion isn't gossiped.
func (t *Table) suspectAllWhenIsolated(now time.Time) {
	if !t.isolated(now) {
		return
	}
	for _, m := range t.members {
		if !m.Suspect {
			t.suspect(m)
			t.markLocalSuspicion(m)
		}
	}
}

// isolated reports whether no member has answered for longer than isolationTimeout.
func (t *Table) isolated(now time.Time) bool { return now.Sub(t.lastAnswer) > isolationTimeout }

// markLocalSuspicion keeps a suspicion from being gossiped. Sent out once this node is
// connected again, it would remove the whole fleet from the addresses.
func (t *Table) markLocalSuspicion(m *Member) {
	m.localSuspicion = true
	m.retransmits = 0
}

func (t *Table) updateDamping(now time.Time) {
	for _, m := range t.members {
		m.Damped = now.Before(m.dampedUntil)
		if m.flaps > 0 && !m.Suspect && now.Sub(m.dampedUntil) > flapDecayInterval {
			m.flaps /= 2
			m.dampedUntil = now
		}
	}
}

// clearSuspicion ends a suspicion. A flapping member is damped for longer each time, since
// callers are refused whenever it goes away again.
func (t *Table) clearSuspicion(now time.Time, m *Member) {
	m.Suspect = false
	t.recordChange(Joined, m.Node.GetIncarnation())
	if m.localSuspicion {
		m.localSuspicion = false
		return
	}
	m.flaps++
	if m.flaps > maxUndampedFlaps {
		m.dampedUntil = now.Add(min(time.Second<<min(m.flaps, 10), maxDamping))
		m.Damped = true
	} else {
		m.dampedUntil = now
	}
}

// ProbeFailed records that a member answered neither this node nor the helpers, in a probe
// that began at started. It reports whether that is an update to push.
func (t *Table) ProbeFailed(now, started time.Time, incarnation string) bool {
	m := t.members[incarnation]
	if m == nil || m.Suspect || !m.lastHeard.Before(started) {
		return false
	}
	// A probe during which this process was suspended says nothing about the member.
	if started.Before(t.resumedAt) || now.Sub(started) > stallThreshold {
		return false
	}
	t.suspect(m)
	// If no other member answers either, this node itself may be cut off.
	if now.Sub(t.lastAnswer) > directAnswerPriority {
		t.markLocalSuspicion(m)
		return false
	}
	return true
}

func (t *Table) suspect(m *Member) {
	m.Suspect = true
	m.retransmits = t.retransmitLimit()
	t.recordChange(Suspected, m.Node.GetIncarnation())
}
