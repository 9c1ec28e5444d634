package enginemodel

import (
	"container/heap"
	"time"
)

// Simulator runs functions in the order of model time.
type Simulator struct {
	now   time.Time
	queue eventQueue
	next  uint64
	// OnAdvance, when set, is told of each step of time before functions run at it.
	OnAdvance func(by time.Duration)
}

// NewSimulator returns a simulator whose time starts at start.
func NewSimulator(start time.Time) *Simulator { return &Simulator{now: start} }

// Now returns the model time.
func (s *Simulator) Now() time.Time { return s.now }

// After runs do once d of model time has passed. Functions due at the same time run
// in the order in which they were added.
func (s *Simulator) After(d time.Duration, do func()) {
	s.next++
	heap.Push(&s.queue, scheduled{at: s.now.Add(max(d, 0)), order: s.next, do: do})
}

// RunUntil runs everything that is due up to end.
func (s *Simulator) RunUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		due := heap.Pop(&s.queue).(scheduled)
		s.moveTo(due.at)
		due.do()
	}
	s.moveTo(end)
}

func (s *Simulator) moveTo(at time.Time) {
	by := at.Sub(s.now)
	if by <= 0 {
		return
	}
	s.now = at
	if s.OnAdvance != nil {
		s.OnAdvance(by)
	}
}

type scheduled struct {
	at    time.Time
	order uint64
	do    func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
