package directory

import "time"

const (
	// minWorkTimeWeight is the least weight of an observation in the mean work time. The speed of an upstream is fixed, while
	// single observations vary by what its neighbours do, which the reports tell too late; over twenty that averages out.
	minWorkTimeWeight = 0.05
	// maxWorkTime bounds an observation: longer ones tell of a fault, not of speed.
	maxWorkTime = 10 * time.Second
)

// workTime is the mean time that an upstream takes for a unit of work, corrected by the slow-down that it reported.
type workTime struct {
	mean float64
	// count is the number of observations in the mean.
	count int
}

func (w *workTime) observe(took time.Duration, slowdown float64) {
	if took <= 0 || took > maxWorkTime {
		return
	}
	w.count++
	weight := max(minWorkTimeWeight, 1/float64(w.count))
	w.mean += weight * (float64(took)/slowdown - w.mean)
}

// ObserveEventTime records the time for each event of a stream, between the first and the last of a window of them
// that ends now. It tells speed on its own: events follow each other without waiting in a queue.
func (s *Stats) ObserveEventTime(perEvent, window, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workTime.observe(perEvent, s.load.SlowdownNow(now-window/2))
}

// ObserveResponseTime records how long a plain request took, up to now. A request that may have queued, as the report
// of its response tells, says nothing about speed.
func (s *Stats) ObserveResponseTime(took, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.At == 0 || s.load.Waiting > 0 {
		return
	}
	s.workTime.observe(took, s.load.SlowdownNow(now))
}

// WorkTime returns the mean time in nanoseconds that the upstream takes for an event of a stream, or for a plain request, as if
// nothing slowed it down, and the number of observations. It compares upstreams of one service.
func (s *Stats) WorkTime() (mean float64, observations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workTime.mean, s.workTime.count
}
