package prepaid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func everyone(w *world) map[string]bool {
	live := make(map[string]bool)
	for name := range w.nodes {
		live[name] = true
	}
	return live
}

// settleDown lets reports, rounds and grants go around a few times.
func settleDown(w *world) {
	for range 4 {
		for _, n := range w.nodes {
			w.apply(n)
			w.report(n, false)
		}
		w.round(everyone(w))
	}
	for _, n := range w.nodes {
		w.apply(n)
		w.report(n, false)
	}
}

// A whole fleet loses power with its ceilings unaccounted for. The callers that come
// after it must still find tokens, or a fault of seconds costs them the rest of the day.
func TestFleetPowerLossLeavesTokensToServe(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 1_000_000})
	w.startAll(6, "boot")
	settleDown(w)
	for _, n := range w.nodes {
		for w.serve(n, "a", 10_000) == Reserved {
		}
	}
	settleDown(w)
	left := 1_000_000 - w.used["a"]
	w.startAll(6, "another boot")
	settleDown(w)
	holds := int64(0)
	for _, n := range w.nodes {
		holds += n.share.Status("a").Ceiling
	}
	is.True(holds >= left/10)
}

// Callers press on one node only. Its part must grow, and what the others don't need
// must come to it, or it refuses while the account has plenty.
func TestAllocationsFollowDemand(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 600_000})
	hot := w.start("n1", "boot")
	w.start("n2", "boot")
	settleDown(w)
	for range 10 {
		w.serveReporting(hot, "a", 10_000)
		w.clock.Advance(100 * time.Millisecond)
		settleDown(w)
	}
	is.True(hot.share.Status("a").Ceiling > w.nodes["n2"].share.Status("a").Ceiling)
	is.Equal(w.used["a"], int64(100_000))
}

// On a fleet of 86 nodes a small account can't be split among all: no part would cover
// one long prompt, and most nodes would refuse it.
func TestFewNodesHoldAnAccount(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 400_000})
	w.startAll(86, "boot")
	settleDown(w)
	holders, largest := 0, int64(0)
	for _, n := range w.nodes {
		if c := n.share.Status("a").Ceiling; c > 0 {
			holders++
			largest = max(largest, c)
		}
	}
	is.True(holders >= 2 && holders <= DefaultSettings().HoldersPerRegion)
	is.True(largest >= 50_000)
}

// fewLargeNodes is a fleet of 40 nodes, of which n00 to n05 are large.
func fewLargeNodes() *world {
	w := newWorld(map[string]int64{"a": 4_000_000})
	w.capacity = func(name string) int {
		if name < "n06" {
			return 200
		}
		return 20
	}
	w.startAll(40, "boot")
	settleDown(w)
	return w
}

// Most instances of a fleet are small and get hardly any callers. Held by them, each
// request of the large ones would wait for a loan over a slow link.
func TestLargeNodesHoldAllocations(t *testing.T) {
	is := is.New(t)
	w := fewLargeNodes()
	for name, n := range w.nodes {
		is.Equal(n.share.Status("a").Ceiling > 0, name < "n06")
	}
}

// A caller sticks to a small node whatever it is told. Its requests are many, so that node
// must get a part too.
func TestBusySmallNodeGetsAllocation(t *testing.T) {
	is := is.New(t)
	w := fewLargeNodes()
	for _, name := range []string{"n10", "n20", "n30", "n39"} {
		small := w.nodes[name]
		is.Equal(small.share.Status("a").Ceiling, int64(0))
		for range 20 {
			small.share.Reserve("a", 2_000, 4_000_000)
			w.clock.Advance(100 * time.Millisecond)
		}
		settleDown(w)
		is.True(small.share.Status("a").Ceiling > 0)
	}
}

// A node is cut off and keeps serving. The planner can't know how much it uses, so
// nothing of its ceiling may go to others until it is back.
func TestPartitionedNodeKeepsCeiling(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 300_000})
	cut := w.start("n1", "boot")
	w.start("n2", "boot")
	settleDown(w)
	before := cut.share.Status("a").Ceiling
	for range 20 {
		w.report(w.nodes["n2"], false)
		w.round(map[string]bool{"n2": true})
		w.apply(w.nodes["n2"])
	}
	is.True(before+w.nodes["n2"].share.Status("a").Ceiling <= 300_000)
}

// Guards against tokens of a request that a stopped node sends an hour later having been
// granted to others meanwhile.
func TestLateSendOfSuspendedNodeIsCovered(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 300_000})
	stopped, other := w.start("n1", "boot"), w.start("n2", "boot")
	settleDown(w)
	w.serveReporting(stopped, "a", 20_000) // reserved, and stopped before its bytes leave
	is.Equal(len(stopped.open), 1)
	for range 3600 {
		w.clock.Advance(time.Second)
		w.report(other, false)
		w.round(map[string]bool{"n2": true})
		w.apply(other)
		w.serveReporting(other, "a", 10_000)
	}
	is.True(w.used["a"] > 20_000)
	is.True(w.used["a"] <= 300_000)
	w.settle(stopped, 100)
	is.True(w.used["a"] <= 300_000)
}

// A process stops in an orderly way. All that it didn't use goes back at once.
func TestStoppedNodeReturnsUnusedTokens(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 300_000})
	n := w.start("n1", "boot")
	settleDown(w)
	is.Equal(w.serve(n, "a", 1_000), Reserved)
	w.settle(n, 100)
	n.share.End()
	w.report(n, false)
	plan := w.round(map[string]bool{})
	is.Equal(len(plan.Closed), 1)
	is.Equal(plan.Closed[0].Counted, int64(1_000))
}

// An account is nearly used up. What is left covers a few more requests, and they must be
// served: if a part of it were kept back as usual, the last requests would find parts that
// are too small and be told to come back for ever.
func TestLastTokensAreServed(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 40_000})
	w.startAll(6, "boot")
	for range 10 {
		settleDown(w)
		for _, n := range w.nodes {
			if w.serve(n, "a", 9_000) == Reserved {
				w.settle(n, 100)
			}
		}
	}
	is.Equal(w.used["a"], int64(36_000))
}

// A whole fleet loses power while it has used little of an account. Nothing proves that the
// nodes hadn't opened their reserves, so all that they held counts as used, and twelve
// seconds later callers are refused though most of the account is left. What was not used
// should be served again.
func TestFleetPowerLossStrandsLittle(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 1_000_000})
	w.startAll(6, "boot")
	settleDown(w)
	w.startAll(6, "another boot")
	settleDown(w)
	is.True(w.allocator.account("a").closed <= 100_000)
}

// A fleet in full use loses power and is back after a second and a half. An account is paid
// for 1.3 times a day's use; two such losses a day must leave its callers that use, so each
// may strand at most 15% of it, seven seconds of a day of fifty. With more, callers found
// their accounts used up at the end of the day though they had tokens left.
func TestPowerLossStrandsFewSecondsOfDemand(t *testing.T) {
	is := is.New(t)
	const nodes, every, tokens = 6, 100 * time.Millisecond, 1_000
	w := newWorld(map[string]int64{"a": 10_000_000})
	w.startAll(nodes, "boot")
	settleDown(w)
	for i := range 200 {
		for _, n := range w.nodes {
			w.serveReporting(n, "a", tokens)
			w.settle(n, 100)
		}
		w.clock.Advance(every)
		if i%5 == 0 {
			settleDown(w)
		}
	}
	used := w.used["a"]
	w.clock.Advance(1500 * time.Millisecond)
	w.startAll(nodes, "another boot")
	settleDown(w)
	demand := float64(nodes*tokens) / every.Seconds()
	stranded := float64(w.allocator.account("a").closed - used)
	is.True(stranded > 0)
	is.True(stranded <= 7*demand)
}
