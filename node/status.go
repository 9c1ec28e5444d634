package node

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Nodes returns the fleet as this node sees it, itself first.
func (n *Node) Nodes() []*operatorv1.NodeStatus {
	self := nodeStatus(n.info, string(n.State()))
	self.ConfigOffset = n.Offset()
	all := []*operatorv1.NodeStatus{self}
	for _, member := range n.members.All() {
		state := string(StateServing)
		if member.Draining {
			state = string(StateDraining)
		}
		if member.Suspect {
			state = "suspect"
		}
		all = append(all, nodeStatus(member.Node, state))
	}
	return all
}

func nodeStatus(info *recordv1.NodeInfo, state string) *operatorv1.NodeStatus {
	return &operatorv1.NodeStatus{
		Incarnation: info.GetIncarnation(), PeerAddress: info.GetPeerAddress(), HttpAddress: info.GetHttpAddress(),
		OperatorAddress: info.GetOperatorAddress(), Region: info.GetRegion(), DataCentre: info.GetDataCentre(), State: state,
	}
}

// BudgetStates returns the budgets as this node folds them; one for a name, all
// for an empty name.
func (n *Node) BudgetStates(name string) []*operatorv1.BudgetState {
	var states []*operatorv1.BudgetState
	owners := map[string]string{}
	for _, r := range n.Config().All() {
		if b := r.GetResource().GetBudget(); b != nil {
			owners[b.GetName()] = b.GetAccount()
		}
	}
	incarnations := n.ledger.Incarnations()
	for _, line := range n.ledger.Budgets() {
		if name != "" && line.Budget != name {
			continue
		}
		state := &operatorv1.BudgetState{Budget: line.Budget, Account: owners[line.Budget],
			Prepaid: line.Prepaid, Spent: line.Spent, Pool: line.Pool}
		for incarnation, share := range line.Shares {
			state.Shares = append(state.Shares, &operatorv1.ShareState{Incarnation: incarnation,
				Granted: share.Granted, Spent: share.Spent, Closed: incarnations[incarnation].Closed})
		}
		states = append(states, state)
	}
	return states
}

// Serving returns nil when the node takes requests. A draining node still does:
// callers keep its address for a while.
func (n *Node) Serving() error {
	switch n.State() {
	case StateServing, StateDraining:
		return nil
	case StateStarting:
		if n.drainOrdered() {
			return errDrained()
		}
		return result.New(result.NotServing, "the node holds no configuration yet").After(time.Second)
	default:
		return result.New(result.IncarnationClosed, "the node is being replaced").After(time.Second)
	}
}
