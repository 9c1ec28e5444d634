package presence

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
)

func record(node string, capacity int) Record {
	return Record{Node: node, Incarnation: node + "-1", Address: node + ":1", Region: "r", Capacity: capacity, Ready: true}
}

// The store is away for ten seconds, so nobody is heard of. The nodes still serve; if
// they were dropped from the answers, callers would find none.
func TestNodesStayLiveWhileStoreIsUnreachable(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	r := NewRoster(clock)
	r.Update(record("a", 100))
	r.ReadSucceeded()
	for range 20 {
		clock.Advance(500 * time.Millisecond)
		r.ReadFailed()
	}
	is.Equal(len(r.Live()), 1)
	r.ReadSucceeded()
	is.Equal(len(r.Live()), 1)
}

// A node dies while the store works. Callers must not be sent to it for long.
func TestSilentNodeIsDropped(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	r := NewRoster(clock)
	r.Update(record("a", 100))
	for range 7 {
		clock.Advance(500 * time.Millisecond)
		r.Update(record("b", 100))
		r.ReadSucceeded()
	}
	is.Equal(len(r.Live()), 1)
	is.Equal(r.Live()[0].Node, "b")
	is.True(!r.IsLive("a", "a-1"))
	is.True(!r.IsLive("b", "b-2"))
}

// One caller may send a hundred requests a second to the address that it has drawn. Sent
// to a small instance it would choke its link while large ones idle.
func TestSmallInstancesAreListedOnlyWithoutLargeOnes(t *testing.T) {
	is := is.New(t)
	var live []Record
	for i := range 20 {
		live = append(live, record(fmt.Sprintf("small%d", i), 20))
	}
	for i := range fewestLarge - 1 {
		live = append(live, record(fmt.Sprintf("large%d", i), 200))
	}
	is.Equal(len(Addresses(live, "r")), mostNamed)
	live = append(live, record("large", 200))
	is.Equal(len(Addresses(live, "r")), fewestLarge)
}

// A whole region is lost. Its callers are sent to the other one rather than nowhere.
func TestFallsBackToOtherRegions(t *testing.T) {
	is := is.New(t)
	is.Equal(Addresses([]Record{record("a", 100)}, "another"), []string{"a:1"})
	leaving := record("b", 100)
	leaving.Ready = false
	is.Equal(len(Addresses([]Record{leaving}, "r")), 0)
}

// A fleet has a few large nodes and many small ones, which callers aren't sent to. The
// small ones write rarely, or nearly all calls to the store are theirs; and none of them
// may be dropped for it, or have the fleet's duties while a large one is there.
func TestUnlistedNodesWriteRarely(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	r := NewRoster(clock)
	r.ReadSucceeded()
	hear := func(node string, capacity int) {
		rec := record(node, capacity)
		rec.IntervalMs = RecordInterval(r.Live(), rec).Milliseconds()
		r.Update(rec)
	}
	for i := range 5 {
		hear(fmt.Sprintf("large%d", i), 200)
	}
	hear("a-small", 20)
	hear("a-small", 20)
	is.Equal(RecordInterval(r.Live(), record("large1", 200)), leastEvery)
	is.Equal(RecordInterval(r.Live(), record("a-small", 20)), quietEvery)
	for range 6 {
		clock.Advance(500 * time.Millisecond)
		for i := range 4 {
			hear(fmt.Sprintf("large%d", i), 200)
		}
		r.ReadSucceeded()
	}
	clock.Advance(200 * time.Millisecond)
	r.ReadSucceeded()
	is.Equal(len(r.Live()), 5) // the large one that fell silent is gone, the small one is not
	is.Equal(senior(r.Active()), "large0")
}

// senior is the node that comes before all others.
func senior(records []Record) string {
	return slices.MinFunc(records, func(a, b Record) int {
		if Precedes(&a, &b) {
			return -1
		}
		return 1
	}).Node
}

// A node hears of others, loses the store and reads it again. Its lists must follow each
// change: callers would be sent to a node that is gone.
func TestCachedListsAreInvalidated(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	r := NewRoster(clock)
	r.Update(record("a", 100))
	is.Equal(len(r.Live()), 1)
	r.Update(record("b", 100))
	is.Equal(len(r.Live()), 2)
	is.Equal(len(r.Active()), 2)
	r.Remove("a")
	is.Equal(len(r.Live()), 1)
	r.ReadSucceeded()
	clock.Advance(time.Minute)
	r.ReadFailed()
	r.ReadSucceeded()
	is.Equal(len(r.Live()), 1) // the minute without the store doesn't count
	for range 3 {
		clock.Advance(2 * time.Second)
		r.ReadSucceeded()
	}
	is.Equal(len(r.Live()), 0)
	is.Equal(len(r.Active()), 0)
}

// At hundreds of equal nodes their records must not take up what the store can write.
func TestWriteRateOfLargeFleetIsBounded(t *testing.T) {
	is := is.New(t)
	var live []Record
	for i := range 376 {
		live = append(live, record(fmt.Sprintf("n%03d", i), 100))
	}
	perSecond := float64(len(live)) / RecordInterval(live, live[0]).Seconds()
	is.True(perSecond <= 200)
}

// All nodes come back at once and read what they need. The duty must fall to a node beside
// the store: one behind the link that half of the fleet reads over begins seconds later, and
// until then nobody is granted tokens.
func TestNodesNearTheStorePrecede(t *testing.T) {
	is := is.New(t)
	far, near, small := record("a", 200), record("b", 200), record("c", 20)
	far.StoreWriteMs, near.StoreWriteMs, small.StoreWriteMs = 64, 6, 5
	is.Equal(senior([]Record{far, small, near}), "b")
	is.True(!Precedes(&near, &near)) // nobody comes before itself
	near.StoreWriteMs = 0            // it has just begun
	is.Equal(senior([]Record{far, near}), "a")
}
