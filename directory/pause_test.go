package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const pause = time.Minute

// Guards against ending a pause early because of a successful response or a shorter pause.
func TestPauseIsNotShortened(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	is.True(!s.Paused(0))
	s.RecordPause(pause)
	s.RecordPause(time.Second)
	s.RecordSuccess(time.Second)
	is.Equal(s.PauseLeft(time.Second), pause-time.Second)
	is.True(s.Paused(pause - 1))
	is.True(!s.Paused(pause))
	s.RecordPause(2 * pause)
	is.True(s.Paused(pause))
}

// Guards against forgetting a pause because the upstream's entry changes, vanishes and returns, or
// names a new incarnation.
func TestPauseOutlivesEntries(t *testing.T) {
	changes := map[string]func(*Table, *bootclock.Fake){
		"new entry": func(*Table, *bootclock.Fake) {},
		"draining": func(t *Table, _ *bootclock.Fake) {
			e := ready("a", 2)
			e.State = Draining
			t.Put(e)
		},
	}
	for name, vanish := range vanishings {
		changes[name] = vanish
	}
	moved, restarted := ready("a", 3), ready("a", 1)
	moved.Address = "10.0.0.2:80"
	restarted.StartedAt = 2000
	for name, change := range changes {
		for returned, e := range map[string]Entry{"same": ready("a", 3), "moved": moved, "restarted": restarted} {
			t.Run(name+", "+returned, func(t *testing.T) {
				is := is.New(t)
				table, clock := newTestTable()
				until := clock.Now() + pause
				only(table).RecordPause(until)
				change(table, clock)
				table.Put(e)
				is.Equal(only(table).PauseLeft(clock.Now()), until-clock.Now())
				table.Replace([]Entry{e})
				is.Equal(only(table).PauseLeft(clock.Now()), until-clock.Now())
			})
		}
	}
}

// Guards against losing the pause in a response to a request that was sent before the node learned
// of the restart.
func TestPauseOfEarlierRequestCountsAfterRestart(t *testing.T) {
	is := is.New(t)
	table, clock := newTestTable()
	before := only(table)
	restarted := ready("a", 1)
	restarted.StartedAt = 2000
	table.Put(restarted)
	is.True(!only(table).Paused(clock.Now()))
	before.RecordPause(clock.Now() + pause)
	is.True(only(table).Paused(clock.Now()))
}
