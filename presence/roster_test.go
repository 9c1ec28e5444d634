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

// The store is unreachable for ten seconds, so no node is heard from. The nodes still serve; if
// they were dropped from the list, callers would find none.
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

// A node dies while the store works. Callers must soon no longer be sent to it.
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

// One caller may send a hundred requests a second to the address it picked. Sent to a small
// instance, they would saturate its link while large instances idle.
func TestSmallInstancesAreNamedOnlyInPlaceOfLargeOnes(t *testing.T) {
	is := is.New(t)
	var small []Record
	for i := range 20 {
		small = append(small, record(fmt.Sprintf("small%d", i), 20))
	}
	is.Equal(len(Addresses(small, "r")), maxAddresses)
	live := small
	for i := range 6 {
		name := fmt.Sprintf("large%d", i)
		live = append(live, record(name, 200))
		named := Addresses(live, "r")
		is.Equal(len(named), max(minAddresses, i+1))
		for j := range i + 1 { // no large one is left out
			is.True(slices.Contains(named, fmt.Sprintf("large%d:1", j)))
		}
		is.True(IsListed(live, live[len(live)-1]))
		is.True(!IsListed(live, live[0]))
	}
}

// A whole region is lost. Its callers must be sent to the other region instead of nowhere.
func TestFallsBackToOtherRegions(t *testing.T) {
	is := is.New(t)
	is.Equal(Addresses([]Record{record("a", 100)}, "another"), []string{"a:1"})
	leaving := record("b", 100)
	leaving.Ready = false
	is.Equal(len(Addresses([]Record{leaving}, "r")), 0)
}

// A fleet has a few large nodes and many small ones, to which callers are not sent. If the small
// ones did not write rarely, nearly all calls to the store would be theirs. Writing rarely must
// not get them dropped, and none may hold the fleet's tasks while a large node is live.
func TestUnlistedNodesWriteRarely(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	r := NewRoster(clock)
	r.ReadSucceeded()
	update := func(node string, capacity int) {
		rec := record(node, capacity)
		rec.IntervalMs = RecordInterval(r.Live(), rec).Milliseconds()
		r.Update(rec)
	}
	for i := range 5 {
		update(fmt.Sprintf("large%d", i), 200)
	}
	update("a-small", 20)
	update("a-small", 20)
	is.Equal(RecordInterval(r.Live(), record("large1", 200)), minInterval)
	is.Equal(RecordInterval(r.Live(), record("a-small", 20)), unlistedInterval)
	for range 6 {
		clock.Advance(500 * time.Millisecond)
		for i := range 4 {
			update(fmt.Sprintf("large%d", i), 200)
		}
		r.ReadSucceeded()
	}
	clock.Advance(200 * time.Millisecond)
	r.ReadSucceeded()
	is.Equal(len(r.Live()), 5) // the silent large node is gone, the small one is not
	is.Equal(firstInOrder(r.Active()), "large0")
}

// firstInOrder returns the node that precedes all others.
func firstInOrder(records []Record) string {
	return slices.MinFunc(records, func(a, b Record) int {
		if Precedes(&a, &b) {
			return -1
		}
		return 1
	}).Node
}

// A node hears of others, loses the store and reads it again. The cached lists must follow each
// change, or callers would be sent to a node that is gone.
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
	is.Equal(len(r.Live()), 1) // the minute without the store does not count
	for range 3 {
		clock.Advance(2 * time.Second)
		r.ReadSucceeded()
	}
	is.Equal(len(r.Live()), 0)
	is.Equal(len(r.Active()), 0)
}

// Records of hundreds of equal nodes must not use up the store's write capacity.
func TestWriteRateOfLargeFleetIsBounded(t *testing.T) {
	is := is.New(t)
	var live []Record
	for i := range 376 {
		live = append(live, record(fmt.Sprintf("n%03d", i), 100))
	}
	perSecond := float64(len(live)) / RecordInterval(live, live[0]).Seconds()
	is.True(perSecond <= 200)
}

// Guards against records that grow with the square of the fleet's size: every node reads the records
// of all others.
func TestRecordsOfUnlistedNodesAreBounded(t *testing.T) {
	is := is.New(t)
	for _, small := range []int{30, 277, 1000} {
		var live []Record
		for i := range 18 {
			live = append(live, record(fmt.Sprintf("large%02d", i), 200))
		}
		for i := range small {
			live = append(live, record(fmt.Sprintf("small%03d", i), 20))
		}
		is.Equal(RecordInterval(live, live[0]), minInterval) // news of these is as fresh as in a small fleet
		is.True(float64(small)/RecordInterval(live, live[18]).Seconds() <= 50)
	}
}

// All nodes restart at once and read what they need. The tasks must fall to a node near the
// store: one behind the link that half of the fleet reads over starts seconds later, and until
// then no node is granted tokens.
func TestNodesNearTheStorePrecede(t *testing.T) {
	is := is.New(t)
	far, near, small := record("a", 200), record("b", 200), record("c", 20)
	far.StoreWriteMs, near.StoreWriteMs, small.StoreWriteMs = 64, 6, 5
	is.Equal(firstInOrder([]Record{far, small, near}), "b")
	is.True(!Precedes(&near, &near)) // no node precedes itself
	near.StoreWriteMs = 0            // it has just started
	is.Equal(firstInOrder([]Record{far, near}), "a")
}

// Guards against sending callers to nodes that serve only through others, and against sending all
// callers to the few nodes that are left with paths of their own.
func TestNodesWithLostPathsAreNotNamedWhileOthersSuffice(t *testing.T) {
	is := is.New(t)
	live := []Record{record("a", 100), record("b", 100), record("c", 100), record("d", 100)}
	for lost, named := range map[int]int{0: 4, 1: 3, 2: 2, 3: 4, 4: 4} {
		records := slices.Clone(live)
		for i := range lost {
			records[i].PathsLost = true
		}
		is.Equal(len(Addresses(records, "r")), named)
	}
	far := record("far", 100)
	far.Region = "other"
	alone := record("alone", 100)
	alone.PathsLost = true
	is.Equal(Addresses([]Record{alone, far}, "r"), []string{"alone:1"}) // relaying costs less than the other region
}

// Guards against callers that are sent to a crowded node while others are free, and to nowhere if all are crowded.
func TestCrowdedNodesAreNamedLast(t *testing.T) {
	is := is.New(t)
	var live []Record
	for i := range maxAddresses + 2 {
		live = append(live, record(fmt.Sprintf("n%d", i), 100))
		live[i].Crowded = i < 3
	}
	named := Addresses(live, "r")
	is.Equal(len(named), maxAddresses)
	for i, address := range named { // two of the three are left out
		isCrowded := slices.Contains([]string{"n0:1", "n1:1", "n2:1"}, address)
		is.Equal(isCrowded, i == maxAddresses-1)
	}
	is.Equal(len(Addresses(live[:3], "r")), 3)
	live[3].Capacity, live[4].Capacity = 20, 20 // small
	is.Equal(Addresses(live[2:4], "r"), []string{"n3:1", "n2:1"})
}
