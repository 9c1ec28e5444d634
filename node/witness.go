package node

import (
	"context"
	"sort"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/witness"
)

func (n *Node) newReplicator() *witness.Replicator {
	return witness.NewReplicator(witness.Config{
		Incarnation: n.Incarnation(), Clock: n.deps.Clock, Caller: n.deps.Peers, Events: n.events,
		Candidates: n.witnessCandidates, OnlyNode: n.isOnlyNode,
		LogReachable: n.logReachable, Required: n.settings.BudgetPolicy.WitnessRequired,
	})
}

// isOnlyNode reports whether no other incarnation is open in the log. The table of members
// can't be used: it is empty for the first second after a node's start, whatever the fleet.
func (n *Node) isOnlyNode() bool { return n.ledger.OpenIncarnations() <= 1 }

// witnessCandidates returns the nodes that may be a witness, best first. Another data centre of
// the region survives what stops this one and is near; another region is slow to reach and may
// be cut off when it is queried.
func (n *Node) witnessCandidates() []witness.Candidate {
	var usable []membership.Member
	for _, member := range n.members.All() {
		if !member.Suspect && !member.Draining {
			usable = append(usable, member)
		}
	}
	sort.SliceStable(usable, func(i, j int) bool { return n.witnessRank(usable[i]) < n.witnessRank(usable[j]) })
	var candidates []witness.Candidate
	for _, member := range usable {
		candidates = append(candidates, witness.Candidate{
			Incarnation: member.Node.GetIncarnation(), Address: member.Node.GetPeerAddress(), DataCentre: member.Node.GetDataCentre(),
		})
	}
	return candidates
}

func (n *Node) witnessRank(member membership.Member) int {
	switch {
	case member.Node.GetRegion() != n.settings.Region:
		return 2
	case member.Node.GetDataCentre() == n.settings.DataCentre:
		return 1
	default:
		return 0
	}
}

// updateWitness stores what another node reports about its requests. A leaving or closed node
// refuses, as the stored reports would be lost with it.
func (n *Node) updateWitness(from string, update *fleetv1.Witness) error {
	if n.State() != StateServing && n.State() != StateStarting {
		return result.New(result.Draining, "the node is leaving")
	}
	return n.budgets.witnessStore.Update(from, update)
}

func (n *Node) handleWitnessQuery(query *fleetv1.WitnessQuery) (*fleetv1.WitnessReport, error) {
	if query.GetWitness() != n.Incarnation() {
		return nil, result.New(result.IncarnationClosed, "incarnation %s isn't here any more", query.GetWitness())
	}
	return &fleetv1.WitnessReport{Open: n.budgets.recoverer.Report(query.GetIncarnation())}, nil
}

// handOverWitnessed hands the requests that this node witnesses to another node. Otherwise, if
// a node crashed before its witness stopped gracefully, its requests would be lost.
func (n *Node) handOverWitnessed(ctx context.Context) error {
	return n.budgets.replicator.HandOver(ctx, n.budgets.witnessStore.All())
}
