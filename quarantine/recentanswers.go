package quarantine

import "time"

const (
	// answersLife is how long an answered request is known at least: crashes under an equal one may come until a node that
	// was frozen or cut off for some seconds tells of them.
	answersLife = 30 * time.Second
	// maxAnswers bounds the requests of each generation, at 50 bytes each. When there are more, older ones are forgotten early.
	maxAnswers = 16_384
)

// recentAnswers knows when requests were last answered completely, and how often by this node. Its zero value is empty; it isn't safe
// for concurrent use.
type recentAnswers struct {
	newer, older map[ID]answered
	// began is when newer was begun.
	began time.Duration
}

// answered tells of the answers to equal requests.
type answered struct {
	// at is when the last one was complete, on any node.
	at time.Duration
	// count is how many this node gave.
	count int
}

// add records an answer, given by this node or another one.
func (a *recentAnswers) add(request ID, at time.Duration, own bool) {
	if a.newer == nil || len(a.newer) >= maxAnswers || at-a.began > answersLife {
		a.older, a.newer, a.began = a.newer, make(map[ID]answered), at
	}
	known := a.newer[request]
	known.at = max(known.at, at)
	if own {
		known.count++
	}
	a.newer[request] = known
}

// of returns the answers to a request; ok is false if none is known.
func (a *recentAnswers) of(request ID) (known answered, ok bool) {
	known, ok = a.newer[request]
	earlier, okEarlier := a.older[request]
	return answered{at: max(known.at, earlier.at), count: known.count + earlier.count}, ok || okEarlier
}
