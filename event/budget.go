package event

// Events of budgets.
const (
	ShareGranted      Number = 301
	ShareRefused      Number = 302
	ShareReturned     Number = 303
	TopUpInForce      Number = 304
	SpendRightLapsed  Number = 305
	IncarnationOpened Number = 306
	IncarnationClosed Number = 307
)

var budgetKinds = map[Number]Kind{
	ShareGranted:      {"ShareGranted", "The log granted this node tokens of a budget."},
	ShareRefused:      {"ShareRefused", "The log granted this node nothing."},
	ShareReturned:     {"ShareReturned", "This node gave tokens back to the pool."},
	TopUpInForce:      {"TopUpInForce", "A top-up took effect on this node."},
	SpendRightLapsed:  {"SpendRightLapsed", "The node's right to spend ran out before it could renew it."},
	IncarnationOpened: {"IncarnationOpened", "The log opened an incarnation."},
	IncarnationClosed: {"IncarnationClosed", "The log closed an incarnation."},
}
