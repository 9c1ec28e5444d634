package quarantine

import (
	"slices"
	"time"
)

const (
	// answeredFor is how long after an answer upstreams that crash together under equal requests count once: then these are
	// requests of many callers, and upstreams crash by themselves.
	answeredFor = 10 * time.Second
	// maxKeptCrashes bounds the crashes that are kept of one request: enough to count three one after the other among
	// others that came together.
	maxKeptCrashes = 8
)

// requestState is what a node knows of a request under which upstreams crashed. The mutex of requests guards it.
type requestState struct {
	// crashes came after the last answer.
	crashes []Crash
	// answeredAt is when an equal request was last answered completely, on any node; valid if answered is set.
	answeredAt time.Duration
	answered   bool
	// waiting are this node's sends that wait for their turn.
	waiting []*Turn
	// settled is set once the other nodes agree that the request must not be sent, and none of them is sending it.
	settled bool
	// changed is closed at the next change.
	changed chan struct{}
}

func newRequestState() *requestState { return &requestState{changed: make(chan struct{})} }

// add adds a crash; isNew is false if it was added before.
func (s *requestState) add(e Crash) (isNew bool) {
	if isSameAny(s.crashes, e) {
		return false
	}
	if s.answered && e.At <= s.answeredAt {
		return true
	}
	s.crashes = append(s.crashes[max(0, len(s.crashes)-maxKeptCrashes+1):], e)
	s.notify()
	return true
}

// answer drops the crashes before an answer and reports whether there were any.
func (s *requestState) answer(at time.Duration) bool {
	if !s.answered || at > s.answeredAt {
		s.answeredAt, s.answered = at, true
	}
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(e Crash) bool { return e.At <= s.answeredAt })
	s.settled = false
	s.notify()
	return len(s.crashes) < before
}

// count returns how many crashes count: all, or one after the other if the request had just been answered.
func (s *requestState) count() int {
	if !s.wasJustAnswered() {
		return len(s.crashes)
	}
	ordered := slices.SortedFunc(slices.Values(s.crashes), func(a, b Crash) int { return int(a.At - b.At) })
	count, last := 0, s.answeredAt-answeredFor
	for _, e := range ordered {
		if e.SentAt >= last {
			count, last = count+1, e.At
		}
	}
	return count
}

// wasJustAnswered reports whether an equal request was answered shortly before the first crash.
func (s *requestState) wasJustAnswered() bool {
	if !s.answered || len(s.crashes) == 0 {
		return false
	}
	first := slices.MinFunc(s.crashes, func(a, b Crash) int { return int(a.At - b.At) })
	return first.At-s.answeredAt < answeredFor
}

// isFree reports whether the request may be sent whatever other nodes do.
func (s *requestState) isFree() bool {
	return s.wasJustAnswered() && s.count() < MaxRequestCrashes
}

// last returns the time of the latest crash.
func (s *requestState) last() time.Duration {
	last := s.crashes[0].At
	for _, e := range s.crashes {
		last = max(last, e.At)
	}
	return last
}

// notify wakes those that wait for a change.
func (s *requestState) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
