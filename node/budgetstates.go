package node

import (
	"sort"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
)

// budgetsPerPage keeps an answer below the four megabytes that gRPC takes in one
// message, also when every node of a large fleet holds a share of each budget.
const budgetsPerPage = 100

// BudgetStates returns a page of the budgets behind the name after, as this node folds
// them, sorted by name, and the name to continue behind; that is empty at the end.
func (n *Node) BudgetStates(after string) ([]*operatorv1.BudgetState, string) {
	lines, next := n.ledger.Page(after, budgetsPerPage)
	return n.budgetStates(lines), next
}

// BudgetState returns one budget; none when nothing was ever paid into it.
func (n *Node) BudgetState(name string) []*operatorv1.BudgetState {
	line := n.ledger.Budget(name)
	if line.Prepaid == 0 {
		return nil
	}
	return n.budgetStates([]budget.Line{line})
}

func (n *Node) budgetStates(lines []budget.Line) []*operatorv1.BudgetState {
	var states []*operatorv1.BudgetState
	view, incarnations := n.Config(), n.ledger.Incarnations()
	for _, line := range lines {
		held := view.Versioned(config.Key{Kind: config.KindBudget, Name: line.Budget})
		state := &operatorv1.BudgetState{Budget: line.Budget, Account: held.GetResource().GetBudget().GetAccount(),
			Prepaid: line.Prepaid, Spent: line.Spent, Pool: line.Pool}
		for incarnation, share := range line.Shares {
			state.Shares = append(state.Shares, &operatorv1.ShareState{Incarnation: incarnation,
				Granted: share.Granted, Spent: share.Spent, Closed: incarnations[incarnation].Closed})
		}
		sort.Slice(state.Shares, func(i, j int) bool { return state.Shares[i].Incarnation < state.Shares[j].Incarnation })
		states = append(states, state)
	}
	return states
}
