package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// TestMain fixes the seed of the property tests to make them deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newTestTable(now time.Time, count int) (*Table, []*recordv1.NodeInfo) {
	table := NewTable(nodeInfo("self", "a"))
	var open []*recordv1.NodeInfo
	for i := range count {
		open = append(open, nodeInfo(fmt.Sprint("n", i), fmt.Sprint("a", i)))
	}
	table.Step(now, open)
	for _, node := range open {
		table.ApplyViews(now, node.GetIncarnation(), []*fleetv1.PeerView{{Node: node, Beat: 1}})
	}
	return table, open
}

func usableCount(table *Table) int {
	count := 0
	for _, m := range table.All() {
		if m.Usable() {
			count++
		}
	}
	return count
}

// A process is suspended for an hour in the middle of its pings, as when its machine
// sleeps, and resumed. It must not suspect all others for that gap, or it hands out only
// its own address.
func TestResumedProcessSuspectsNobody(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, open := newTestTable(now, 6)
	resumed := now.Add(time.Hour)
	is.Equal(table.ProbeFailed(resumed, now.Add(time.Millisecond), "n1"), false) // the timeout fires first after resuming
	table.Step(resumed, open)
	is.Equal(table.ProbeFailed(resumed.Add(time.Second), now, "n2"), false)
	is.Equal(usableCount(table), 6)
	later := resumed.Add(time.Second)
	table.Step(later, open)
	table.ApplyViews(later, "n5", []*fleetv1.PeerView{{Node: open[5], Beat: 1}})
	is.Equal(table.ProbeFailed(later.Add(time.Second), later, "n1"), true) // a ping after resuming counts
	is.Equal(usableCount(table), 5)
}

// A node flaps every few seconds. Callers sent there are refused each time it goes, so it is
// damped for longer each time, and used again once it is stable.
func TestFlappingNodeIsDamped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, open := newTestTable(now, 3)
	for range 8 {
		now = now.Add(2 * time.Second)
		table.Step(now, open)
		table.ApplyViews(now, "n1", []*fleetv1.PeerView{{Node: open[1], Beat: 1}})
		table.ProbeFailed(now.Add(time.Second), now.Add(time.Millisecond), "n0")
		table.ApplyViews(now.Add(time.Second), "n0", []*fleetv1.PeerView{{Node: open[0], Beat: 1}})
	}
	for second := range 90 {
		now = now.Add(time.Second)
		for _, node := range open {
			table.ApplyViews(now, node.GetIncarnation(), []*fleetv1.PeerView{{Node: node, Beat: 1}})
		}
		table.Step(now, open)
		is.True(second >= 50 || usableCount(table) == 2)
	}
	is.Equal(usableCount(table), 3)
}

// Any sequence of messages about draining, suspected and unknown nodes must leave at most one
// member per address, no usable member that drains, and messages of bounded size.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table, open := newTestTable(now, 4)
		draining := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			node := rapid.SampledFrom(open).Draw(t, "node")
			beat := rapid.Uint64Range(1, 5).Draw(t, "beat")
			view := &fleetv1.PeerView{Node: node, Beat: beat, Suspect: rapid.Bool().Draw(t, "suspect")}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				table.Step(now, open)
			case 1:
				view.Draining = draining[node.GetIncarnation()] != 0
				table.ApplyViews(now, node.GetIncarnation(), []*fleetv1.PeerView{view})
			case 2:
				table.ApplyViews(now, "n9", []*fleetv1.PeerView{{Node: nodeInfo("n9", "a9"), Beat: beat}, view})
			case 3:
				table.ProbeFailed(now, now.Add(-time.Second), node.GetIncarnation())
			case 4:
				draining[node.GetIncarnation()] = 9
				table.ApplyViews(now, node.GetIncarnation(), []*fleetv1.PeerView{{Node: node, Beat: 9, Draining: true}})
			}
			checkInvariants(t, table, draining)
		}
	})
}

func checkInvariants(t *rapid.T, table *Table, draining map[string]uint64) {
	held := map[string]bool{}
	for _, m := range table.All() {
		if held[m.Node.GetPeerAddress()] {
			t.Fatalf("two members with address %s", m.Node.GetPeerAddress())
		}
		held[m.Node.GetPeerAddress()] = true
		if draining[m.Node.GetIncarnation()] != 0 && m.Usable() {
			t.Fatalf("draining member %s is usable", m.Node.GetIncarnation())
		}
	}
	if len(table.Views()) > maxUpdates+maxLoadViews {
		t.Fatal("message exceeds maxUpdates+maxLoadViews views")
	}
}

// Callers of one client account ask different nodes. They must be routed to the same few, or
// the account's budget is split over all nodes. Overloaded nodes rank last, and nodes of the
// answering node's region first.
func TestAccountIsRoutedToFewNodes(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 6 {
		node := nodeInfo(fmt.Sprint("n", i), fmt.Sprint("a", i))
		if i >= 4 {
			node.Region = "there"
		}
		members = append(members, Member{Node: node})
	}
	firstChoices := map[string]bool{}
	for i, m := range members[:4] {
		others := append(append([]Member(nil), members[:i]...), members[i+1:]...)
		list := Rank(AddressQuery{Account: "large", Self: m.Node, SelfServing: true}, others)
		firstChoices[list[0].Address] = true
		is.Equal(list[4].Region, "there")
		is.Equal(len(list), 6)
	}
	is.Equal(len(firstChoices), 1)
	list := Rank(AddressQuery{Account: "large", Self: members[5].Node}, members)
	is.Equal(list[0].Region, "there")
	preferred := Rank(AddressQuery{Account: "large", Self: members[0].Node}, members)[0].Address
	for i := range members {
		if members[i].Node.GetHttpAddress() == preferred {
			members[i].InFlight = 100
		}
	}
	is.True(Rank(AddressQuery{Account: "large", Self: members[0].Node}, members)[0].Address != preferred)
}
