package enginemodel

import (
	"container/heap"
	"time"
)

// Simulator is a discrete-event scheduler: it runs functions in order of simulated time.
type Simulator struct {
	now       time.Time
	queue     eventQueue
	lastOrder uint64
	// OnAdvance, if set, is called each time the clock advances, before the functions due
	// at the new time run.
	OnAdvance func(by time.Duration)
}

// NewSimulator returns a simulator whose clock starts at start.
func NewSimulator(start time.Time) *Simulator { return &Simulator{now: start} }

// Now returns the simulated time.
func (s *Simulator) Now() time.Time { return s.now }

// After schedules fn to run once d of simulated time has passed. Functions due at the same
// time run in the order in which they were scheduled.
func (s *Simulator) After(d time.Duration, fn func()) {
	s.lastOrder++
	heap.Push(&s.queue, scheduledEvent{at: s.now.Add(max(d, 0)), order: s.lastOrder, fn: fn})
}

// RunUntil runs all functions due up to and including end and advances the clock to it.
func (s *Simulator) RunUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		event := heap.Pop(&s.queue).(scheduledEvent)
		s.advanceTo(event.at)
		event.fn()
	}
	s.advanceTo(end)
}

func (s *Simulator) advanceTo(at time.Time) {
	by := at.Sub(s.now)
	if by <= 0 {
		return
	}
	s.now = at
	if s.OnAdvance != nil {
		s.OnAdvance(by)
	}
}

type scheduledEvent struct {
	at    time.Time
	order uint64
	fn    func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
