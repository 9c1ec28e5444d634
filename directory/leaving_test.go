package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/throttle"
)

// Guards against using an upstream that announced that it leaves because its entry, still or again,
// says that it is ready.
func TestAnnouncedLeaveOutlivesEntries(t *testing.T) {
	changes := map[string]func(*Table, *bootclock.Fake){"new entry": func(*Table, *bootclock.Fake) {}}
	for name, vanish := range vanishings {
		changes[name] = vanish
	}
	moved := ready("a", 3)
	moved.Address = "10.0.0.2:80"
	for name, change := range changes {
		for returned, e := range map[string]Entry{"same": ready("a", 3), "moved": moved} {
			t.Run(name+", "+returned, func(t *testing.T) {
				is := is.New(t)
				table, clock := newTestTable()
				is.True(only(table).RecordLeaving())
				is.True(!only(table).RecordLeaving()) // it isn't news again
				change(table, clock)
				is.Equal(table.Put(e), Unchanged)
				is.True(!only(table).Accepts(clock.Now()))
				table.Replace([]Entry{e})
				is.True(!only(table).Accepts(clock.Now()))
			})
		}
	}
}

// Guards against losing the leave announced in a response to a request that was sent before the
// upstream's entry changed.
func TestAnnouncedLeaveCountsAfterMove(t *testing.T) {
	is := is.New(t)
	table, clock := newTestTable()
	before := only(table)
	moved := ready("a", 2)
	moved.Address = "10.0.0.2:80"
	table.Put(moved)
	is.True(only(table).Accepts(clock.Now()))
	before.RecordLeaving()
	is.True(!only(table).Accepts(clock.Now()))
}

// Guards against never using an upstream again that left and restarted under the same ID, however
// late the last responses of the former incarnation are.
func TestRestartedUpstreamIsUsedAfterLeave(t *testing.T) {
	for name, vanish := range vanishings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTestTable()
			before := only(table)
			before.RecordLeaving()
			vanish(table, clock)
			restarted := ready("a", 1)
			restarted.StartedAt = 2000
			is.Equal(table.Put(restarted), Joined)
			is.True(only(table).Accepts(clock.Now()))
			before.RecordLeaving()
			is.True(only(table).Accepts(clock.Now()))
		})
	}
}

// Guards against a delayed entry of an earlier incarnation that makes the node forget, while the
// upstream's entry is gone, that its present incarnation leaves.
func TestDelayedEntryDoesNotEndAnnouncedLeave(t *testing.T) {
	is := is.New(t)
	table, clock := newTestTable()
	present := ready("a", 1)
	present.StartedAt = 2000
	table.Put(present)
	only(table).RecordLeaving()
	table.Remove("a")
	is.Equal(table.Put(ready("a", 9)), Unchanged)
	is.Equal(len(ids(table)), 0)
	table.Put(present)
	is.True(!only(table).Accepts(clock.Now()))
}

// Guards against a burst at an upstream that named a limit and restarted: its next answer may name it again.
func TestLimitOutlivesRestart(t *testing.T) {
	is := is.New(t)
	table := NewTable(bootclock.System{})
	table.Put(Entry{ID: "u", Service: "s", Address: "a", State: Ready, StartedAt: 1})
	u := table.Current().Upstreams("s")[0]
	u.Throttle.NameLimit(1, throttle.Part{Share: 1, Senders: 1}, time.Second, 0)
	table.Put(Entry{ID: "u", Service: "s", Address: "a", State: Ready, StartedAt: 2})
	u = table.Current().Upstreams("s")[0]
	perSecond, _, limited := u.Throttle.Limit(time.Second)
	is.True(limited)
	is.Equal(perSecond, 1.0)
	is.True(u.Throttle.ClearLimit(2 * time.Second))
}
