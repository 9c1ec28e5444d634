package directory

import "time"

// maxWriteDelay is how late a write that got no answer may be executed: a store in trouble executes some several seconds late.
const maxWriteDelay = 10 * time.Second

// incarnations tells which entries of an upstream's ID are of the incarnation that lives, whether or not the upstream is listed.
// The order of the log decides, as an upstream may start again with an earlier start time than before; but a write may be
// executed late, behind later ones of the same incarnation, of the next one, or behind the removal of the entry. Only an
// incarnation that lives goes on writing.
type incarnations struct {
	// latestStart is the latest start time that an accepted entry named.
	latestStart int64
	// renewedAt is when the present incarnation's last new entry was accepted, by the boot clock.
	renewedAt time.Duration
	// doubted is the last entry that may be a late write; it has no ID if there is none since renewedAt.
	doubted Entry
}

// newIncarnations returns those of an ID of which e is the first entry.
func newIncarnations(e Entry, now time.Duration) *incarnations {
	return &incarnations{latestStart: e.StartedAt, renewedAt: now}
}

// judge tells whether e, read after present, is of an incarnation that lives: the same one, one that started later than all
// before, any once the present one fell silent, or one of which a second entry in a row is read. A departed upstream may have
// left while its writes were under way, so its silence proves nothing until these can't be executed any more.
func (i *incarnations) judge(e, present Entry, departed bool, now time.Duration) verdict {
	silent := now - i.renewedAt
	isOther := e.isOther(present)
	switch {
	case e.Offset < present.Offset && !(departed && silent >= maxWriteDelay):
		return readBefore
	case !isOther && e.isBehind(present, departed):
		if e.StartedAt != 0 || !departed {
			return earlierSequence
		}
		isOther = true // it may be a restart, which a start time would show
	}
	if isOther && !i.lives(e, departed, silent) {
		i.doubted = e
		return otherIncarnation
	}
	if isOther || e.Sequence > present.Sequence {
		*i = incarnations{latestStart: max(i.latestStart, e.StartedAt), renewedAt: now}
	}
	return accepted
}

// lives reports whether e, which isn't of the present incarnation, is of one that lives.
func (i *incarnations) lives(e Entry, departed bool, silent time.Duration) bool {
	silenceLimit := lapseTime
	if departed {
		silenceLimit = maxWriteDelay
	}
	return e.StartedAt > i.latestStart || silent >= silenceLimit || e.continues(i.doubted)
}
