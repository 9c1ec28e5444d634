package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/throttle"
)

// slowWarmup limits cold upstreams of all services to one request in ten seconds.
type slowWarmup struct{}

func (slowWarmup) Warmup(string) (time.Duration, float64) { return 3 * time.Second, 0.1 }
func (slowWarmup) Part(string) throttle.Part              { return throttle.Part{Share: 1, Senders: 1} }

func inDataCentre(id, dataCentre string) Entry {
	return Entry{ID: id, Service: "s", Address: "10.64.0.1:80", DataCentre: dataCentre, Slots: 4, State: Ready, StartedAt: 1}
}

// Guards against requests to upstreams of an evacuated data centre, also to those that join, come back after a full
// reading, or are there when the node starts.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	is := is.New(t)
	table := NewTable(&bootclock.Fake{})
	table.SetEvacuated(map[string]bool{"a": true})
	table.Replace([]Entry{inDataCentre("1", "a"), inDataCentre("2", "b")})
	table.Put(inDataCentre("3", "a"))
	is.Equal(len(table.Current().Upstreams("s")), 1)
	table.SetEvacuated(map[string]bool{})
	is.Equal(len(table.Current().Upstreams("s")), 3)
}

// Guards against flooding the upstreams of a data centre that is used again: they are cold, and may say so later.
func TestUpstreamsAreColdAfterEvacuation(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	table := NewTable(clock)
	table.Warmup = slowWarmup{}
	table.Replace([]Entry{inDataCentre("1", "a"), inDataCentre("2", "b")})
	table.SetEvacuated(map[string]bool{"a": true})
	added, removed := table.SetEvacuated(map[string]bool{"b": true})
	is.Equal(added, []string{"b"})
	is.Equal(removed, []string{"a"})
	u := table.Current().Upstreams("s")[0]
	is.Equal(u.ID, "1")
	is.True(u.Throttle.WarmingUp(clock.Now()))
	clock.Advance(3 * time.Second)
	is.True(!u.Throttle.WarmingUp(clock.Now()))
}

// Guards against an upstream that becomes cold again without a restart and is flooded, and against starting over
// whenever the same entry is read again.
func TestUpstreamBecomesColdAgain(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	table := NewTable(clock)
	table.Warmup = slowWarmup{}
	entry := inDataCentre("1", "a")
	table.Replace([]Entry{entry})
	u := table.Current().Upstreams("s")[0]
	is.True(!u.Throttle.WarmingUp(clock.Now()))
	entry.Sequence, entry.Warmup = 2, 2*time.Second
	table.Put(entry)
	is.True(u.Throttle.WarmingUp(clock.Now()))
	clock.Advance(time.Second)
	table.Replace([]Entry{entry})
	clock.Advance(time.Second)
	is.True(!u.Throttle.WarmingUp(clock.Now()))
}
