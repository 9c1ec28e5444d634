package node

import (
	"sort"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
)

// budgetsPerPage keeps a response below gRPC's message limit of 4 MB even when every node of a
// large fleet holds a share of each budget.
const budgetsPerPage = 100

// BudgetStates returns the page of budgets whose names follow after, sorted by name, in the
// state that this node has applied. The returned string is the after of the next page, empty
// on the last one.
func (n *Node) BudgetStates(after string) ([]*operatorv1.BudgetState, string) {
	lines, next := n.ledger.Page(after, budgetsPerPage)
	return n.budgetStates(lines), next
}

// BudgetState returns the state of one budget, or nil if nothing was ever paid into it.
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
		versioned := view.Versioned(config.Key{Kind: config.KindBudget, Name: line.Budget})
		state := &operatorv1.BudgetState{Budget: line.Budget, Account: versioned.GetResource().GetBudget().GetAccount(),
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
