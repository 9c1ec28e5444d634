package processlag

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
)

func newTestMonitor() (*Monitor, *bootclock.Fake) {
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	return NewMonitor(clock, event.NewRecorder(event.NewHLC(clockwork.NewFakeClock()), "n", 64, log.NewNopLogger())), clock
}

// Guards against a lag that holds on to what was measured before: a node would go on refusing.
func TestLagIsThatOfTheLastInterval(t *testing.T) {
	is := is.New(t)
	m, _ := newTestMonitor()
	h := &metrics.Float64Histogram{Buckets: []float64{math.Inf(-1), 0.001, 0.5, math.Inf(1)}, Counts: []uint64{10, 20, 30}}
	is.Equal(m.meanSince(h), time.Duration(0)) // what was before the start doesn't count
	h.Counts = []uint64{10, 21, 31}
	is.Equal(m.meanSince(h), 250500*time.Microsecond)
	is.Equal(m.meanSince(h), time.Duration(0)) // nothing since
	h.Counts = []uint64{14, 21, 31}
	is.Equal(m.meanSince(h), time.Duration(0))
	m.record(time.Second)
	is.Equal(m.Lag(), time.Second)
	m.record(0)
	is.Equal(m.Lag(), time.Duration(0))
}

// Guards against a runtime that no longer has the metric, or has it in another form.
func TestRuntimeHasTheMetric(t *testing.T) {
	is := is.New(t)
	m, _ := newTestMonitor()
	metrics.Read(m.samples)
	is.Equal(m.samples[0].Value.Kind(), metrics.KindFloat64Histogram)
}

// Guards against a log that grows with the lag.
func TestLateMeasurementsAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	m, clock := newTestMonitor()
	m.record(lateLimit - time.Millisecond)
	m.record(lateLimit)
	m.record(2 * lateLimit)
	m.record(lateLimit)
	clock.Advance(logInterval)
	m.record(lateLimit)
	events, _ := m.events.After(0, 64)
	is.Equal(len(events), 2)
	is.Equal(events[1].Fields["measurements"], "3")
	is.Equal(events[1].Fields["longest_ms"], "40")
	is.Equal(m.Measured().Get("le_32").String(), "4") // 19 and 20 ms
}
