package throttle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a ramp whose start is reported and whose end never is, since another one begins while it is in force.
func TestRampReplacedByAnotherIsReportedAsEnded(t *testing.T) {
	is := is.New(t)
	l, start := &Limiter{}, RampStart{Slots: 32, Part: Part{Share: 0.5, Senders: 2}, Usual: time.Second}
	l.BeginRamp(start, time.Hour, 0.5)
	report, ok := l.TakeRampReport(time.Hour)
	is.True(ok && report.Began && report.Outcome == "")
	l.BeginRamp(start, time.Hour+time.Second, 0.5)
	report, ok = l.TakeRampReport(time.Hour + time.Second)
	is.True(ok && report.Began)
	is.True(report.Outcome != "")
}
