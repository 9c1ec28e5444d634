package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/throttle"
)

// newTableAfterEvacuation returns a table with one upstream, whose data centre was evacuated and is used again.
func newTableAfterEvacuation(clock bootclock.Clock, policy WarmupPolicy) *Table {
	table := NewTable(clock)
	table.Warmup = policy
	table.Replace([]Entry{inDataCentre("1", "a")})
	table.SetEvacuated(map[string]bool{"a": true})
	table.SetEvacuated(map[string]bool{})
	return table
}

// Guards against flooding an upstream whose data centre was evacuated until shortly before it changed its address: it is as cold
// as before, and its entry may tell so later.
func TestUpstreamStaysColdUnderAnotherAddress(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	table, entry := newTableAfterEvacuation(clock, slowWarmup{}), inDataCentre("1", "a")
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
	table := newTableAfterEvacuation(clock, policy)
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
