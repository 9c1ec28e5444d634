package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/throttle"
)

// Guards against dropping the protection of an engine's memory for one garbled header after a pause: in a large fleet, a node
// receives reports of one upstream less often than every slowdownTTL.
func TestOneGarbledReportAfterAPauseKeepsSlowdown(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	s.ObserveReport(LoadReport{Running: 1, Slots: 48, Slowdown: 1}, time.Hour)
	s.ObserveLoad(2, 0, time.Hour+slowdownTTL+time.Second)
	is.True(s.ReportsSlowdown())
}

// Guards against flooding an upstream whose data centre was evacuated until shortly before it changed its address: it is as cold
// as before, and its entry may tell so later.
func TestUpstreamStaysColdUnderAnotherAddress(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	table := NewTable(clock)
	table.Warmup = slowWarmup{}
	entry := inDataCentre("1", "a")
	table.Replace([]Entry{entry})
	table.SetEvacuated(map[string]bool{"a": true})
	table.SetEvacuated(map[string]bool{})
	is.True(table.Current().Upstreams("s")[0].Throttle.WarmingUp(clock.Now()))
	entry.Sequence, entry.Address = 2, "10.64.0.2:80"
	table.Put(entry)
	is.True(table.Current().Upstreams("s")[0].Throttle.WarmingUp(clock.Now()))
}

// ratedWarmup limits cold upstreams of all services to a rate; zero for none.
type ratedWarmup struct{ perSecond float64 }

func (w *ratedWarmup) Warmup(string) (time.Duration, float64) { return 30 * time.Second, w.perSecond }
func (w *ratedWarmup) Part(string) throttle.Part              { return throttle.Part{Share: 1, Senders: 1} }

// Guards against sending to a cold upstream at the rate of an earlier configuration, which may be more than it takes now.
func TestConfigChangesTheRateOfColdUpstreams(t *testing.T) {
	is := is.New(t)
	clock, policy := &bootclock.Fake{}, &ratedWarmup{50}
	table := NewTable(clock)
	table.Warmup = policy
	table.Replace([]Entry{inDataCentre("1", "a")})
	table.SetEvacuated(map[string]bool{"a": true})
	table.SetEvacuated(map[string]bool{})
	u := table.Current().Upstreams("s")[0]
	policy.perSecond = 5
	table.ConfigChanged()
	perSecond, _, limited := u.Throttle.Limit(clock.Now())
	is.True(limited)
	is.Equal(perSecond, 5.0)
	policy.perSecond = 0
	table.ConfigChanged()
	is.True(!u.Throttle.WarmingUp(clock.Now()))
}
