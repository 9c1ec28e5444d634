package throttle

import "time"

// HeardWindow is how recent an upstream's last answer must be to tell whether it is brittle. Once one of a
// service says that it is, the others are taken for brittle as well until they answer: they are of one
// kind, and the first requests to a new one are the burst that fells it.
const HeardWindow = time.Second

const (
	// announcementTTL is how long an announcement holds without another answer of the upstream.
	announcementTTL = 30 * time.Second
	// initialShare is the part of the upstream's slots that all nodes together use at first.
	initialShare = 0.6
	// growth is the part by which a window grows with an answer of an upstream that has free slots. It is a
	// twentieth of the decrease with one in which others wait, so that few wait in the long run.
	growth = 0.01
	// minAdjustInterval is the least time between two changes of the window, so that the answers to
	// requests that were open at the same time count once.
	minAdjustInterval = 20 * time.Millisecond
	// minPause and maxPause bound the pause after a rejection.
	minPause = time.Second
	maxPause = 10 * time.Second
	// minWindow is the least window: with less, a node would take too long to learn that the upstream
	// has room again.
	minWindow = 0.02
	// queueFactor is what remains of the window after an answer of an upstream in which others wait.
	queueFactor = 0.8
	// durationWeight is the weight of the last request in the usual duration.
	durationWeight = 0.2
	// initialDuration is the usual duration before any is known.
	initialDuration = 50 * time.Millisecond
)

// Load is what an upstream says of its load in an answer.
type Load struct {
	// Running and Waiting count requests, Slots is how many run at once.
	Running, Waiting, Slots int
}

// window limits the open requests of one node to a brittle upstream. The zero value limits nothing.
type window struct {
	active      bool
	limit       int
	announcedAt time.Duration
	// size is how many requests may be open. Below 1 it is the share of the time in which one may be.
	size float64
	// usual is how long requests usually take, adjustedAt when size was last changed.
	usual, adjustedAt time.Duration
	// pausedUntil is the end of a pause after a rejection, nextAt the earliest time of the next request
	// with a size below 1.
	pausedUntil, nextAt time.Duration
}

func (w *window) announce(limit, slots, nodes int, now time.Duration, random float64) (isNew bool) {
	isNew = !w.active
	if isNew {
		w.size = max(minWindow, initialShare*float64(slots)/float64(max(1, nodes)))
		w.usual, w.adjustedAt, w.pausedUntil, w.nextAt = initialDuration, now, 0, 0
		w.delayNext(now, 2*random)
	}
	w.limit, w.announcedAt, w.active = limit, now, true
	return isNew
}

// expire ends an announcement that no answer has repeated for long.
func (w *window) expire(now time.Duration) {
	if now-w.announcedAt > announcementTTL {
		w.active = false
	}
}

func (w *window) allows(open int, now time.Duration) bool {
	switch {
	case !w.active:
		return true
	case now < w.pausedUntil:
		return false
	case w.size >= 1:
		return open < int(w.size)
	default:
		return open == 0 && now >= w.nextAt
	}
}

// delayNext keeps a node with a size below 1 to its share of the time: factor is 1 on average. Without
// chance, all nodes would open their requests at the same moment.
func (w *window) delayNext(now time.Duration, factor float64) {
	if w.active && w.size < 1 {
		w.nextAt = now + time.Duration(factor*float64(w.usual)/w.size)
	}
}

func (w *window) rejected(nodes int, now time.Duration, random float64) {
	if !w.active || now < w.pausedUntil {
		return // it was under way when another one was rejected
	}
	w.size, w.adjustedAt = max(minWindow, w.size/2), now
	pause := time.Duration(float64(time.Second) * float64(nodes) / float64(max(1, w.limit)))
	w.pausedUntil = now + time.Duration((1+random/2)*float64(min(maxPause, max(minPause, pause))))
	w.delayNext(w.pausedUntil, 2*random)
}

func (w *window) succeeded(load Load, took, now time.Duration) {
	if now-took > w.announcedAt {
		w.active = false
	}
	if !w.active {
		return
	}
	w.usual += time.Duration(durationWeight * float64(took-w.usual))
	if now-w.adjustedAt < max(minAdjustInterval, w.usual) {
		return
	}
	w.adjustedAt = now
	switch {
	case load.Waiting > 0:
		w.size = max(minWindow, w.size*queueFactor)
	case load.Running < load.Slots:
		w.size = min(float64(max(1, load.Slots)), w.size*(1+growth))
	}
}
