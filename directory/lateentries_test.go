package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func (l *upstreamLog) remove() {
	l.offset++
	l.table.Apply([]Update{{Entry: Entry{ID: "a", Offset: l.offset}, Removed: true}})
}

// entry returns an entry of "a" that stands next in the log.
func (l *upstreamLog) entry(startedAt, sequence int64, state State) Entry {
	l.offset++
	e := ready("a", sequence)
	e.StartedAt, e.State, e.Offset = startedAt, state, l.offset
	return e
}

// readings are the ways in which a node reads an entry.
var readings = map[string]func(*Table, Entry){
	"appended": func(t *Table, e Entry) { t.Put(e) },
	"reread":   func(t *Table, e Entry) { t.Replace([]Entry{e}) },
}

// Guards against requests to an upstream that has left, whose entry of before is executed behind the removal.
func TestLateEntryOfDepartedUpstream(t *testing.T) {
	late := map[string]func(l *upstreamLog) []Entry{
		"earlier entry":           func(l *upstreamLog) []Entry { return []Entry{l.entry(3000, 4, Ready)} },
		"several earlier entries": func(l *upstreamLog) []Entry { return []Entry{l.entry(3000, 3, Ready), l.entry(3000, 4, Ready)} },
		"last entry again":        func(l *upstreamLog) []Entry { return []Entry{l.entry(3000, 5, Ready)} },
		"of an earlier start":     func(l *upstreamLog) []Entry { return []Entry{l.entry(1000, 9, Ready)} },
		"older reading": func(l *upstreamLog) []Entry {
			e := l.entry(3000, 5, Ready)
			e.Offset = 5
			return []Entry{e}
		},
	}
	leaves := map[string]func(*upstreamLog){
		"removed":             func(l *upstreamLog) { l.remove() },
		"drained and removed": func(l *upstreamLog) { l.writeAtOnce(3000, 6, Draining); l.remove() },
	}
	for leaving, leave := range leaves {
		for name, entries := range late {
			for reading, read := range readings {
				t.Run(leaving+", "+name+", "+reading, func(t *testing.T) {
					is := is.New(t)
					l := newUpstreamLog()
					l.write(1000, 1, Ready)
					for n := range int64(5) {
						l.write(3000, n+1, Ready)
					}
					leave(l)
					is.Equal(l.listed(), int64(0))
					l.clock.Advance(maxWriteDelay - 2*heartbeatInterval)
					for _, e := range entries(l) {
						read(l.table, e)
						is.Equal(l.listed(), int64(0))
					}
				})
			}
		}
	}
}

// Guards against dropping the entries of an upstream that is back, or was never gone, as late ones.
func TestEntryOfLivingUpstreamIsListed(t *testing.T) {
	returns := map[string]func(*upstreamLog) Change{
		"next entry":    func(l *upstreamLog) Change { return l.write(3000, 6, Ready) },
		"later start":   func(l *upstreamLog) Change { return l.write(4000, 1, Ready) },
		"earlier start": func(l *upstreamLog) Change { return max(l.write(2000, 1, Ready), l.write(2000, 2, Ready)) },
		"earlier start, long after": func(l *upstreamLog) Change {
			l.clock.Advance(maxWriteDelay)
			return l.write(2000, 1, Ready)
		},
		"without start times": func(l *upstreamLog) Change { return max(l.write(0, 1, Ready), l.write(0, 2, Ready)) },
		"log begun anew": func(l *upstreamLog) Change {
			l.clock.Advance(maxWriteDelay)
			l.offset = 0
			return l.write(3000, 6, Ready)
		},
		"another address": func(l *upstreamLog) Change {
			e := l.entry(3000, 6, Ready)
			e.Address = "10.0.0.2:80"
			return l.table.Put(e)
		},
	}
	vanishes := map[string]func(*upstreamLog){
		"removed": func(l *upstreamLog) { l.remove() },
		"reread":  func(l *upstreamLog) { l.table.Replace(nil) },
		"expired with the store": func(l *upstreamLog) {
			l.table.RecordStoreFailure()
			l.remove()
			l.clock.Advance(staleTTL)
			l.table.Expire()
		},
	}
	for vanishing, vanish := range vanishes {
		for name, comeBack := range returns {
			t.Run(vanishing+", "+name, func(t *testing.T) {
				is := is.New(t)
				l := newUpstreamLog()
				for n := range int64(5) {
					l.write(3000, n+1, Ready)
				}
				vanish(l)
				is.Equal(l.listed(), int64(0))
				is.Equal(comeBack(l), Joined)
			})
		}
	}
}

// Guards against dropping entries without a trace that tells by what.
func TestDroppedEntryIsReported(t *testing.T) {
	is := is.New(t)
	l := newUpstreamLog()
	var dropped []Dropped
	l.table.OnDropped = func(d Dropped) { dropped = append(dropped, d) }
	l.write(3000, 1, Ready)
	l.write(3000, 2, Ready)
	l.write(3000, 1, Ready)
	l.remove()
	l.write(3000, 1, Ready)
	l.write(2000, 7, Ready)
	is.Equal(len(dropped), 3)
	is.Equal(dropped[0].Reason, "earlier sequence")
	is.True(!dropped[0].Departed && dropped[1].Departed)
	is.Equal(dropped[1].Present.Sequence, int64(2))
	is.Equal(dropped[2].Reason, "another incarnation")
	l.clock.Advance(time.Second)
	l.write(3000, 3, Ready)
	is.Equal(len(dropped), 3)
}
