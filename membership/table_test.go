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

// TestMain pins the property tests' seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func tableOf(now time.Time, count int) (*Table, []*recordv1.NodeInfo) {
	table := NewTable(info("self", "a"))
	var open []*recordv1.NodeInfo
	for i := range count {
		open = append(open, info(fmt.Sprint("n", i), fmt.Sprint("a", i)))
	}
	table.Step(now, open)
	for _, node := range open {
		table.ApplyViews(now, node.GetIncarnation(), []*fleetv1.PeerView{{Node: node, Beat: 1}})
	}
	return table, open
}

func usable(table *Table) int {
	count := 0
	for _, m := range table.All() {
		if m.Usable() {
			count++
		}
	}
	return count
}

// A process is stopped for an hour, as a suspended machine is, in the middle of its
// pings, and woken. It must not take the silence for the death of all others, or it
// hands out nothing but itself.
func TestResumedProcessSuspectsNobody(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, open := tableOf(now, 6)
	woken := now.Add(time.Hour)
	is.Equal(table.ProbeFailed(woken, now.Add(time.Millisecond), "n1"), false) // the timeout fires first after waking
	table.Step(woken, open)
	is.Equal(table.ProbeFailed(woken.Add(time.Second), now, "n2"), false)
	is.Equal(usable(table), 6)
	later := woken.Add(time.Second)
	table.Step(later, open)
	table.ApplyViews(later, "n5", []*fleetv1.PeerView{{Node: open[5], Beat: 1}})
	is.Equal(table.ProbeFailed(later.Add(time.Second), later, "n1"), true) // a ping after waking counts
	is.Equal(usable(table), 5)
}

// A node comes and goes every few seconds. Callers sent there are refused every time
// it goes, so it is left out for longer each time, and trusted again once it is calm.
func TestFlappingNodeIsDamped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, open := tableOf(now, 3)
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
		is.True(second >= 50 || usable(table) == 2)
	}
	is.Equal(usable(table), 3)
}

// Any messages in any order, of closed, draining, restarted and unknown nodes, lead
// to a table whose addresses hold only nodes that answer and stay, one for each address.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table, open := tableOf(now, 4)
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
				table.ApplyViews(now, "n9", []*fleetv1.PeerView{{Node: info("n9", "a9"), Beat: beat}, view})
			case 3:
				table.ProbeFailed(now, now.Add(-time.Second), node.GetIncarnation())
			case 4:
				draining[node.GetIncarnation()] = 9
				table.ApplyViews(now, node.GetIncarnation(), []*fleetv1.PeerView{{Node: node, Beat: 9, Draining: true}})
			}
			checkTable(t, table, draining)
		}
	})
}

func checkTable(t *rapid.T, table *Table, draining map[string]uint64) {
	held := map[string]bool{}
	for _, m := range table.All() {
		if held[m.Node.GetPeerAddress()] {
			t.Fatalf("two members at %s", m.Node.GetPeerAddress())
		}
		held[m.Node.GetPeerAddress()] = true
		if draining[m.Node.GetIncarnation()] != 0 && m.Usable() {
			t.Fatalf("%s drains and is handed out", m.Node.GetIncarnation())
		}
	}
	if len(table.Views()) > maxNews+maxFill {
		t.Fatal("a message without bound")
	}
}

// The callers of one client account ask different nodes. They must be sent to the same
// few, or its budget is split over all nodes; a node far above the others' load is
// passed over, and nodes of the asked node's region come first.
func TestAccountIsRoutedToFewNodes(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 6 {
		node := info(fmt.Sprint("n", i), fmt.Sprint("a", i))
		if i >= 4 {
			node.Region = "there"
		}
		members = append(members, Member{Node: node})
	}
	first := map[string]bool{}
	for i, m := range members[:4] {
		others := append(append([]Member(nil), members[:i]...), members[i+1:]...)
		list := Rank(AddressQuery{Account: "large", Self: m.Node, SelfServing: true}, others)
		first[list[0].Address] = true
		is.Equal(list[4].Region, "there")
		is.Equal(len(list), 6)
	}
	is.Equal(len(first), 1)
	list := Rank(AddressQuery{Account: "large", Self: members[5].Node}, members)
	is.Equal(list[0].Region, "there")
	home := Rank(AddressQuery{Account: "large", Self: members[0].Node}, members)[0].Address
	for i := range members {
		if members[i].Node.GetHttpAddress() == home {
			members[i].InFlight = 100
		}
	}
	is.True(Rank(AddressQuery{Account: "large", Self: members[0].Node}, members)[0].Address != home)
}
