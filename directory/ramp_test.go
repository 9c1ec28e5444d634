package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/throttle"
)

// newRampTable returns a table with the upstream "a" that ramps up all upstreams, and has read all entries.
func newRampTable() *Table {
	table, _ := newEmptyTable()
	table.Ramp = func(e Entry) (throttle.RampStart, bool) {
		return throttle.RampStart{Slots: e.Slots, Part: throttle.Part{Share: 1, Senders: 1}}, e.Service == "s"
	}
	table.Replace([]Entry{ready("a", 1)})
	return table
}

// Guards against limiting upstreams that have served for long when a node starts, and those that return with the store
// after an outage or a loss of its history; and against a burst at those that started.
func TestRampBeginsForNewIncarnationsOnly(t *testing.T) {
	is := is.New(t)
	table := newRampTable()
	is.True(!only(table).Throttle.Ramping()) // of the first full read
	table.Replace([]Entry{ready("a", 2)})
	is.True(!only(table).Throttle.Ramping())
	table.RecordStoreFailure()
	table.Remove("a")
	table.Put(ready("a", 3))
	is.True(!only(table).Throttle.Ramping())

	restarted := ready("a", 4)
	restarted.StartedAt += 5
	table.Put(restarted)
	is.True(only(table).Throttle.Ramping())
	moved := restarted
	moved.Address, moved.Sequence = "10.0.0.9:1", 5
	table.Put(moved)
	is.True(!only(table).Throttle.Ramping()) // it hasn't started again
	table.Put(ready("b", 1))
	is.True(table.Current().Upstreams("s")[1].Throttle.Ramping())
	other := ready("c", 1)
	other.Service = "other"
	table.Put(other)
	is.True(!table.Current().Upstreams("other")[0].Throttle.Ramping())
}

// Guards against a warm-up that never ends since entries that don't change are read again and again.
func TestWarmupLeftDecays(t *testing.T) {
	is := is.New(t)
	table, clock := newEmptyTable()
	e := ready("a", 1)
	e.Warmup = 3 * time.Second
	table.Put(e)
	clock.Advance(time.Second)
	table.Replace([]Entry{e})
	is.Equal(only(table).WarmupLeft(clock.Now()), 2*time.Second)
	e.Sequence = 2
	table.Put(e)
	is.Equal(only(table).WarmupLeft(clock.Now()), 3*time.Second)
	is.Equal(only(table).WarmupLeft(clock.Now()+time.Hour), time.Duration(0))
}
