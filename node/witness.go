package node

import (
	"context"
	"sort"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/witness"
)

func (n *Node) newTeller() *witness.Replicator {
	return witness.NewReplicator(witness.Config{
		Incarnation: n.Incarnation(), Clock: n.deps.Clock, Caller: n.deps.Peers, Events: n.events,
		Candidates: n.witnesses, OnlyNode: n.alone,
		LogReachable: n.logReachable, Required: n.settings.BudgetPolicy.WitnessRequired,
	})
}

// alone tells whether the log holds no other node open. The table of members would
// say so too for the first second of a node's life, whatever the fleet.
func (n *Node) alone() bool { return n.ledger.OpenIncarnations() <= 1 }

// witnesses lists the nodes that may be a witness, best first: another data centre
// of the region survives what stops this one, and is near; another region is slow
// to tell and may be cut off when it is asked.
func (n *Node) witnesses() []witness.Candidate {
	var usable []membership.Member
	for _, member := range n.members.All() {
		if !member.Suspect && !member.Draining {
			usable = append(usable, member)
		}
	}
	sort.SliceStable(usable, func(i, j int) bool { return n.distance(usable[i]) < n.distance(usable[j]) })
	var candidates []witness.Candidate
	for _, member := range usable {
		candidates = append(candidates, witness.Candidate{
			Incarnation: member.Node.GetIncarnation(), Address: member.Node.GetPeerAddress(), DataCentre: member.Node.GetDataCentre(),
		})
	}
	return candidates
}

func (n *Node) distance(member membership.Member) int {
	switch {
	case member.Node.GetRegion() != n.settings.Region:
		return 2
	case member.Node.GetDataCentre() == n.settings.DataCentre:
		return 1
	default:
		return 0
	}
}

// remember takes in what another node says of its requests. A node that is leaving
// or closed refuses: what it remembered would go with it.
func (n *Node) remember(from string, said *fleetv1.Witness) error {
	if n.State() != StateServing && n.State() != StateStarting {
		return result.New(result.Draining, "the node is leaving")
	}
	return n.budgets.memory.Update(from, said)
}

func (n *Node) witnessReport(query *fleetv1.WitnessQuery) (*fleetv1.WitnessReport, error) {
	if query.GetWitness() != n.Incarnation() {
		return nil, result.New(result.IncarnationClosed, "incarnation %s isn't here any more", query.GetWitness())
	}
	return &fleetv1.WitnessReport{Open: n.budgets.recoverer.Report(query.GetIncarnation())}, nil
}

// passOnWitnessed hands what this node remembers for others to another node.
// Without it a crash before a graceful stop would leave requests that nobody knows.
func (n *Node) passOnWitnessed(ctx context.Context) error {
	return n.budgets.teller.HandOver(ctx, n.budgets.memory.All())
}
