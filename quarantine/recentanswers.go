package quarantine

import "time"

const (
	// answersLife is how long an answered request is known at least: crashes under an equal one may come until a node that
	// was frozen or cut off for some seconds tells of them.
	answersLife = 30 * time.Second
	// maxAnswers bounds the requests of each generation, at 50 bytes each. When there are more, older ones are forgotten early.
	maxAnswers = 16_384
)

// recentAnswers knows when requests were last answered completely. Its zero value is empty; it isn't safe for concurrent use.
type recentAnswers struct {
	newer, older map[ID]time.Duration
	// began is when newer was begun.
	began time.Duration
}

// add records an answer.
func (a *recentAnswers) add(request ID, at time.Duration) {
	if a.newer == nil || len(a.newer) >= maxAnswers || at-a.began > answersLife {
		a.older, a.newer, a.began = a.newer, make(map[ID]time.Duration), at
	}
	if known, ok := a.at(request); !ok || at > known {
		a.newer[request] = at
	}
}

// at returns when a request was last answered; ok is false if that isn't known.
func (a *recentAnswers) at(request ID) (at time.Duration, ok bool) {
	if at, ok = a.newer[request]; ok {
		return at, true
	}
	at, ok = a.older[request]
	return at, ok
}
