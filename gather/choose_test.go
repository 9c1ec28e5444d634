package gather_test

import (
	"testing"

	"github.com/matryer/is"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/membership"
)

func info(name string) *recordv1.NodeInfo {
	return &recordv1.NodeInfo{Incarnation: name, PeerAddress: name, Region: "gulf-maine", DataCentre: "casco"}
}

// from is a policy for any fleet with so many nodes in a data centre.
func from(nodes int) gather.Policy { return gather.Policy{MinDataCentreNodes: nodes} }

func membersOf(names ...string) []membership.Member {
	var all []membership.Member
	for _, name := range names {
		all = append(all, membership.Member{Node: info(name)})
	}
	return all
}

// Nodes that see the same choose the same, and nobody who leaves or is silent.
func TestSameViewChoosesSameGatherer(t *testing.T) {
	is := is.New(t)
	members := membersOf("a", "b", "c", "d", "e")
	first := gather.ChooseGatherer(info("a"), members[1:], from(4))
	for i, m := range members {
		others := append(append([]membership.Member(nil), members[:i]...), members[i+1:]...)
		is.Equal(gather.ChooseGatherer(m.Node, others, from(4)).GetIncarnation(), first.GetIncarnation())
	}
	for i, m := range members {
		if m.Node.GetIncarnation() == first.GetIncarnation() {
			members[i].Draining = true
		}
	}
	is.True(gather.ChooseGatherer(info("x"), members, from(4)).GetIncarnation() != first.GetIncarnation())
}

// A small data centre appends for itself, however many nodes the others have.
func TestSmallDataCentreDoesNotGather(t *testing.T) {
	is := is.New(t)
	members := membersOf("b", "c", "d", "e", "f")
	is.True(gather.ChooseGatherer(info("a"), members, from(6)) != nil)
	is.True(gather.ChooseGatherer(info("a"), members, from(7)) == nil)
	for i := range members {
		members[i].Node.DataCentre = "penobscot"
	}
	is.True(gather.ChooseGatherer(info("a"), members, from(2)) == nil)
}

// A small fleet appends for itself even where all its nodes stand in one data centre:
// the log takes that, and its claims would wait for nothing.
func TestSmallFleetDoesNotGather(t *testing.T) {
	is := is.New(t)
	members := membersOf("b", "c", "d", "e", "f", "g")
	is.True(gather.ChooseGatherer(info("a"), members, gather.DefaultPolicy()) == nil)
	is.True(gather.ChooseGatherer(info("a"), members, gather.Policy{MinFleetNodes: 7, MinDataCentreNodes: 4}) != nil)
}
