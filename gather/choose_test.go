package gather_test

import (
	"testing"

	"github.com/matryer/is"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/membership"
)

func nodeInfo(name string) *recordv1.NodeInfo {
	return &recordv1.NodeInfo{Incarnation: name, PeerAddress: name, Region: "gulf-maine", DataCentre: "casco"}
}

// minNodes returns a policy that gathers in any fleet with that many nodes in a data centre.
func minNodes(nodes int) gather.Policy { return gather.Policy{MinDataCentreNodes: nodes} }

func membersOf(names ...string) []membership.Member {
	var all []membership.Member
	for _, name := range names {
		all = append(all, membership.Member{Node: nodeInfo(name)})
	}
	return all
}

// Nodes with the same view choose the same gatherer, and never one that is draining.
func TestSameViewChoosesSameGatherer(t *testing.T) {
	is := is.New(t)
	members := membersOf("a", "b", "c", "d", "e")
	first := gather.ChooseGatherer(nodeInfo("a"), members[1:], minNodes(4))
	for i, m := range members {
		others := append(append([]membership.Member(nil), members[:i]...), members[i+1:]...)
		is.Equal(gather.ChooseGatherer(m.Node, others, minNodes(4)).GetIncarnation(), first.GetIncarnation())
	}
	for i, m := range members {
		if m.Node.GetIncarnation() == first.GetIncarnation() {
			members[i].Draining = true
		}
	}
	is.True(gather.ChooseGatherer(nodeInfo("x"), members, minNodes(4)).GetIncarnation() != first.GetIncarnation())
}

// The nodes of a small data centre append directly, however many nodes the others have.
func TestSmallDataCentreDoesNotGather(t *testing.T) {
	is := is.New(t)
	members := membersOf("b", "c", "d", "e", "f")
	is.True(gather.ChooseGatherer(nodeInfo("a"), members, minNodes(6)) != nil)
	is.True(gather.ChooseGatherer(nodeInfo("a"), members, minNodes(7)) == nil)
	for i := range members {
		members[i].Node.DataCentre = "penobscot"
	}
	is.True(gather.ChooseGatherer(nodeInfo("a"), members, minNodes(2)) == nil)
}

// A small fleet appends directly even when all its nodes are in one data centre: the log
// can take that load, and its claims would wait without any benefit.
func TestSmallFleetDoesNotGather(t *testing.T) {
	is := is.New(t)
	members := membersOf("b", "c", "d", "e", "f", "g")
	is.True(gather.ChooseGatherer(nodeInfo("a"), members, gather.DefaultPolicy()) == nil)
	is.True(gather.ChooseGatherer(nodeInfo("a"), members, gather.Policy{MinFleetNodes: 7, MinDataCentreNodes: 4}) != nil)
}
