package processlag

import (
	"context"
	"expvar"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/latency"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

const (
	// interval is the time between two measurements: short against the objectives of requests, and long
	// enough for a mean.
	interval = 100 * time.Millisecond
	// lateLimit is from which mean wait on a measurement is logged: an order above what a process with
	// processor time shows.
	lateLimit = 20 * time.Millisecond
	// logInterval is the shortest time between two log lines.
	logInterval = time.Second
	// runnableWaits is the runtime's metric of how long goroutines that could run waited for a processor.
	runnableWaits = "/sched/latencies:seconds"
)

// Monitor measures the lag. It is safe for concurrent use.
type Monitor struct {
	clock  bootclock.Clock
	events *event.Recorder
	// measured counts measurements by mean wait in milliseconds.
	measured *expvar.Map
	late     latency.Late

	samples []metrics.Sample
	// counted is the runtime's histogram at the last measurement.
	counted []uint64
	// lag is the result of the last measurement.
	lag atomic.Int64
}

// NewMonitor returns a monitor that has measured nothing yet.
func NewMonitor(clock bootclock.Clock, events *event.Recorder) *Monitor {
	return &Monitor{clock: clock, events: events, measured: new(expvar.Map).Init(), samples: []metrics.Sample{{Name: runnableWaits}},
		late: latency.Late{Limit: lateLimit, Interval: logInterval}}
}

// Measured returns the number of measurements by mean wait in milliseconds.
func (m *Monitor) Measured() *expvar.Map { return m.measured }

// Lag returns how long a goroutine that can run waits for a processor, on average over the last measurement.
func (m *Monitor) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// Run measures until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		metrics.Read(m.samples)
		if m.samples[0].Value.Kind() == metrics.KindFloat64Histogram { // a runtime without the metric measures nothing
			h := m.samples[0].Value.Float64Histogram()
			m.record(m.meanSince(h))
		}
		periodic.Sleep(ctx, interval)
	}
}

// meanSince returns the mean of what a histogram counts beyond the last one.
func (m *Monitor) meanSince(h *metrics.Float64Histogram) time.Duration {
	if len(m.counted) != len(h.Counts) {
		m.counted = append([]uint64(nil), h.Counts...)
		return 0
	}
	count, sum := uint64(0), 0.0
	for i, n := range h.Counts {
		if added := n - m.counted[i]; added > 0 {
			count += added
			sum += float64(added) * max(0, h.Buckets[i]) // the lower bound; the first and last ones are infinite
		}
	}
	copy(m.counted, h.Counts)
	return time.Duration(sum / float64(max(1, count)) * float64(time.Second))
}

func (m *Monitor) record(lag time.Duration) {
	m.lag.Store(int64(lag))
	m.measured.Add(latency.Bucket(lag), 1)
	if count, longest, due := m.late.Add(m.clock.Now(), lag); due {
		m.events.Record(event.ProcessorLate, "measurements", count, "longest_ms", longest.Milliseconds())
	}
}
