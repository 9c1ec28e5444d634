package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
)

func ready(id string, sequence int64) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "d", Slots: 4, State: Ready, Sequence: sequence, StartedAt: 1000}
}

func ids(t *Table) []string {
	var out []string
	for _, u := range t.Current().Upstreams("s") {
		out = append(out, u.ID)
	}
	return out
}

// An upstream says that it leaves. New work sent to it would be cut off when it ends.
func TestDrainingUpstreamIsNotListed(t *testing.T) {
	is := is.New(t)
	table := NewTable(&bootclock.Fake{})
	is.Equal(table.Put(ready("a", 1)), Joined)
	leaving := ready("a", 2)
	leaving.State = Draining
	is.Equal(table.Put(leaving), Left)
	is.Equal(len(ids(table)), 0)
}

// Entries are delivered late. An old one must not bring a leaving upstream, or an
// earlier incarnation, back into use.
func TestOutdatedEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable(&bootclock.Fake{})
	leaving := ready("a", 5)
	leaving.State = Draining
	table.Put(leaving)
	is.Equal(table.Put(ready("a", 4)), Unchanged)
	is.Equal(len(ids(table)), 0)
	reborn := ready("b", 1)
	reborn.StartedAt = 2000
	table.Put(reborn)
	old := ready("b", 99)
	old.State = Draining
	is.Equal(table.Put(old), Unchanged)
	is.Equal(ids(table), []string{"b"})
}

// An upstream starts again under its ID. What was learned of the earlier incarnation,
// its failures and its load, says nothing of the new one.
func TestNewIncarnationHasFreshStats(t *testing.T) {
	is := is.New(t)
	table := NewTable(&bootclock.Fake{})
	table.Put(ready("a", 9))
	table.Current().Upstreams("s")[0].RecordFailure(0)
	reborn := ready("a", 1)
	reborn.StartedAt = 2000
	is.Equal(table.Put(reborn), Joined)
	is.Equal(table.Current().Upstreams("s")[0].FailureScore(0), 0.0)
}

// The store was away and entries lapsed with it, though the upstreams live. They come
// back about two seconds after the store; a node that believed at once that all are gone
// would refuse every request meanwhile. One still missing after that is gone.
func TestEntriesLostWithTheStoreStayStaleBeforeRemoval(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	table := NewTable(clock)
	table.Replace([]Entry{ready("a", 1), ready("b", 1)})
	table.RecordStoreFailure()
	clock.Advance(time.Second)
	table.Replace([]Entry{ready("a", 2)})
	is.Equal(ids(table), []string{"a", "b"})
	is.True(table.Current().Upstreams("s")[1].StaleUntil != 0)
	clock.Advance(doubtFor)
	table.Expire()
	is.Equal(ids(table), []string{"a"})
}

// Some upstreams never say that they leave: their entry is removed while the store is
// well. They get nothing new from that moment.
func TestEntryIsRemovedWhileTheStoreIsReachable(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	table := NewTable(clock)
	table.Put(ready("a", 1))
	is.True(table.Remove("a"))
	is.True(!table.Remove("a"))
	is.Equal(len(ids(table)), 0)
}

// An upstream went dark and comes back. It must be tried again soon, and each further
// failure must cost fewer requests than the one before.
func TestBackoffGrowsWithEachFailedConnection(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	s.RecordUnreachable(0)
	is.True(s.InBackoff(darkFirst - 1))
	is.True(!s.InBackoff(darkFirst))
	for range 10 {
		s.RecordUnreachable(0)
	}
	is.True(s.InBackoff(darkMost - 1))
	is.True(!s.InBackoff(darkMost))
	s.RecordUnreachable(0)
	s.RecordSuccess(1)
	is.True(!s.InBackoff(1))
}

// Three thousand upstreams register at once, and a node reads them all anew after each loss of
// the store. Were the list of all made for each of them, a node would spend seconds on it, and
// changes of the configuration would wait behind.
func TestBatchBuildsOneSnapshot(t *testing.T) {
	is := is.New(t)
	const upstreams = 3000
	table := NewTable(&bootclock.Fake{})
	var entries []Entry
	var updates []Update
	for i := range upstreams {
		e := Entry{ID: fmt.Sprintf("u%04d", i), Service: "s", State: Ready, Slots: 8}
		entries = append(entries, e)
		updates = append(updates, Update{Entry: e})
	}
	allocated := func(do func()) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		do()
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	const most = upstreams * 2 << 10 // bytes; one list is 24 KB, one for each would be 72 MB
	is.True(allocated(func() { table.Apply(updates) }) < most)
	is.Equal(len(table.Current().Upstreams("s")), upstreams)
	is.True(allocated(func() { table.Replace(entries) }) < most)
	is.True(allocated(func() { table.Apply(updates) }) < most)
	is.Equal(table.Apply([]Update{{Entry: Entry{ID: "u0000"}, Removed: true}, {Entry: entries[0]}, {Entry: entries[1]}}), []Change{Left, Joined, Unchanged})
	is.Equal(len(table.Current().Upstreams("s")), upstreams)
}
