package result

import "google.golang.org/grpc/codes"

// Codes about budgets.
const (
	NoBudget          Code = 2001
	BudgetSpent       Code = 2002
	BudgetUnreachable Code = 2003
	SpendRightLapsed  Code = 2004
)

var budgetInfos = map[Code]Info{
	NoBudget:          {"NoBudget", 402, codes.FailedPrecondition, false, true, "The account has no budget for this service."},
	BudgetSpent:       {"BudgetSpent", 402, codes.ResourceExhausted, false, true, "What is left of the budget can't cover the request's worst case."},
	BudgetUnreachable: {"BudgetUnreachable", 503, codes.Unavailable, true, true, "The tokens left of the budget are held where this node can't reach now."},
	SpendRightLapsed:  {"SpendRightLapsed", 503, codes.Unavailable, true, true, "This node could not renew its right to spend; another node may serve."},
}
