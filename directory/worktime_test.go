package directory

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking an upstream with a noisy neighbour for a slow one, and a queue for slow work.
func TestWorkTimeIsCorrectedBySlowdown(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	s.ObserveEventTime(10*time.Millisecond, 0, time.Hour)
	s.ObserveReport(LoadReport{Running: 1, Slots: 8, Slowdown: 2.5}, time.Hour)
	s.ObserveEventTime(25*time.Millisecond, 0, time.Hour)
	s.ObserveResponseTime(25*time.Millisecond, time.Hour)
	mean, count := s.WorkTime()
	is.True(math.Abs(mean-1e7) < 1)
	is.Equal(count, 3)
	s.ObserveReport(LoadReport{Running: 8, Waiting: 2, Slots: 8, Slowdown: 1}, time.Hour)
	s.ObserveResponseTime(time.Second, time.Hour)
	s.ObserveEventTime(0, 0, time.Hour)
	s.ObserveEventTime(time.Hour, 0, time.Hour)
	_, count = s.WorkTime()
	is.Equal(count, 3)
}

// Guards against a mean that follows single observations: neighbours that no report tells of in time make some of them
// 2.5 times as long.
func TestWorkTimeSmoothsUnreportedSlowdowns(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	for i := range 200 {
		took := 10 * time.Millisecond
		if i%7 == 0 {
			took = 25 * time.Millisecond
		}
		s.ObserveEventTime(took, 0, time.Hour)
	}
	mean, _ := s.WorkTime()
	is.True(mean > 10e6 && mean < 14e6)
}
