package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// MaxRequestCrashes is how many upstreams may crash under a request before it isn't sent any more.
	MaxRequestCrashes = 3
	// requestLife is how long the crashes under a request count after the last of them: callers repeat a request within
	// its deadline, which is a minute at most.
	requestLife = 2 * time.Minute
	// maxRequests bounds the requests whose crashes are counted, at 150 bytes each. The one whose last crash is
	// longest ago yields.
	maxRequests = 4096
)

// requests counts the upstreams that crashed under each request, and its sends that are under way at this node. It is safe for
// concurrent use.
type requests struct {
	clock bootclock.Clock
	// counted is how many requests have crashes: as long as it is zero, a request is looked up without a lock.
	counted atomic.Int64

	mu sync.Mutex
	// byID holds the requests with crashes, sends the number of sends under way of all requests.
	byID    map[ID]*requestState
	sends   map[ID]int
	answers recentAnswers
}

func newRequests(clock bootclock.Clock) *requests {
	return &requests{clock: clock, byID: make(map[ID]*requestState), sends: make(map[ID]int)}
}

// add counts a crash and returns how many count under the request; isNew is false if it was counted before.
func (r *requests) add(e Crash) (count int, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(e.Request)
	if s == nil {
		if len(r.byID) >= maxRequests {
			r.makeRoom()
		}
		s = newRequestState()
		answers, ok := r.answers.of(e.Request)
		s.answeredAt, s.answered, s.popular = answers.at, ok, answers.count >= popularAnswers
		r.byID[e.Request] = s
	}
	isNew = s.add(e)
	if len(s.crashes) == 0 { // answered since
		delete(r.byID, e.Request)
	}
	r.counted.Store(int64(len(r.byID)))
	return s.count(), isNew
}

// count returns how many upstreams crashed under a request.
func (r *requests) count(request ID) int {
	if r.counted.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(request)
	if s == nil {
		return 0
	}
	return s.count()
}

// isRefused reports whether a request must not be sent, and no node can know better.
func (r *requests) isRefused(request ID, alone bool) bool {
	if r.counted.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(request)
	return s != nil && (s.settled || alone) && s.count() >= MaxRequestCrashes
}

// answer records that a request was answered completely at a time, by this node or another one, and reports whether a crash under it was
// counted before.
func (r *requests) answer(request ID, at time.Duration, own bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answerLocked(request, at, own)
}

// answerLocked is answer for a caller that holds mu.
func (r *requests) answerLocked(request ID, at time.Duration, own bool) bool {
	r.answers.add(request, at, own)
	s := r.byID[request]
	if s == nil {
		return false
	}
	dropped := s.answer(at)
	if len(s.crashes) == 0 {
		delete(r.byID, request)
	}
	r.counted.Store(int64(len(r.byID)))
	return dropped
}

// size returns how many requests have crashes.
func (r *requests) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	return len(r.byID)
}

// current returns the state of a request with crashes that still count, nil if it has none. The caller must hold mu.
func (r *requests) current(request ID) *requestState {
	s := r.byID[request]
	if s != nil && r.clock.Now()-s.last() > requestLife {
		s.notify()
		delete(r.byID, request)
		r.counted.Store(int64(len(r.byID)))
		return nil
	}
	return s
}

// makeRoom drops the requests whose crashes no longer count or, if there are none, the one whose last crash is longest
// ago. The caller must hold mu.
func (r *requests) makeRoom() {
	if r.expire(); len(r.byID) < maxRequests {
		return
	}
	var oldest ID
	for id, s := range r.byID {
		if oldest == 0 || s.last() < r.byID[oldest].last() {
			oldest = id
		}
	}
	r.byID[oldest].notify()
	delete(r.byID, oldest)
}

// expire drops the requests whose crashes no longer count. The caller must hold mu.
func (r *requests) expire() {
	for id := range r.byID {
		r.current(id)
	}
	r.counted.Store(int64(len(r.byID)))
}

// standing returns what this node knows of a request that another node is about to send.
func (r *requests) standing(q Inquiry) Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	known := Standing{Sends: r.sends[q.Request]}
	if s := r.current(q.Request); s != nil {
		for _, e := range s.crashes {
			if !q.knows(e.ID) {
				known.Crashes = append(known.Crashes, tell(e, now))
			}
		}
		for _, p := range s.waiting {
			known.Permits = append(known.Permits, p.id)
			p.contested = p.contested || q.Permit < p.id
		}
	}
	if answers, ok := r.answers.of(q.Request); ok {
		known.Answered, known.AnsweredAgoMs, known.Answers = true, max(0, now-answers.at).Milliseconds(), answers.count
	}
	return known
}

// beginSend records a send of a request, unless it needs a permit.
func (r *requests) beginSend(request ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.current(request); s != nil && !s.isFree() {
		return false
	}
	r.sends[request]++
	return true
}

func (r *requests) endSend(request ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sends[request]--; r.sends[request] <= 0 {
		delete(r.sends, request)
	}
	if s := r.byID[request]; s != nil {
		s.notify()
	}
}
