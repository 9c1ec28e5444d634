package result

import "google.golang.org/grpc/codes"

// Codes for budget errors.
const (
	NoBudget          Code = 2001
	BudgetSpent       Code = 2002
	BudgetUnreachable Code = 2003
	SpendRightLapsed  Code = 2004
	BudgetReserved    Code = 2010
	NoWitness         Code = 2011
	SettlementBacklog Code = 2012
	ReservationEnded  Code = 2013
	TopUpsFull        Code = 2014
	KeptForSmaller    Code = 2015
)

var budgetInfos = map[Code]Info{
	NoBudget:          {"NoBudget", 402, codes.FailedPrecondition, false, true, "The account has no budget for this service."},
	BudgetSpent:       {"BudgetSpent", 402, codes.ResourceExhausted, false, true, "What is left of the budget can't cover the request's worst case."},
	BudgetUnreachable: {"BudgetUnreachable", 503, codes.Unavailable, true, true, "The tokens left of the budget are held where this node can't reach now."},
	SpendRightLapsed:  {"SpendRightLapsed", 503, codes.Unavailable, true, true, "This node could not renew its right to spend; another node may serve."},
	BudgetReserved:    {"BudgetReserved", 429, codes.Unavailable, true, true, "What is left of the budget is reserved by requests that run now; some of it comes back as they finish."},
	NoWitness:         {"NoWitness", 503, codes.Unavailable, true, true, "No other node could be told of the request, and the policy asks for that before dispatch; another node may serve."},
	SettlementBacklog: {"SettlementBacklog", 503, codes.Unavailable, true, true, "The node holds as many settlements as it can while the log is out of reach."},
	ReservationEnded:  {"ReservationEnded", 409, codes.FailedPrecondition, false, true, "A peer was asked to reserve for a request that has ended."},
	TopUpsFull:        {"TopUpsFull", 409, codes.FailedPrecondition, false, true, "The budget has had as many top-ups as it can have; create a new budget."},
	KeptForSmaller:    {"KeptForSmaller", 429, codes.ResourceExhausted, true, true, "What is left of the account is kept for smaller requests; a smaller one is served now, this one after a top-up or once fewer smaller ones come."},
}
