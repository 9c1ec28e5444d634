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
	PartBorrowed      Number = 310
	PartLent          Number = 311
	PartResolved      Number = 312
	ShareMoved        Number = 313
	ClosingSilent     Number = 314
	RecoveryStarted   Number = 315
	RecoveryWaiting   Number = 316
	RequestRecovered  Number = 317
	RecoveryFinished  Number = 318
	ShareWrittenOff   Number = 319
	Unwitnessed       Number = 320
	WitnessChanged    Number = 321
	SettledForSilent  Number = 322
)

var budgetKinds = map[Number]Kind{
	ShareGranted:      {"ShareGranted", "The log granted this node tokens of a budget."},
	ShareRefused:      {"ShareRefused", "The log granted this node nothing."},
	ShareReturned:     {"ShareReturned", "This node gave tokens back to the pool."},
	TopUpInForce:      {"TopUpInForce", "A top-up took effect on this node."},
	SpendRightLapsed:  {"SpendRightLapsed", "The node's right to spend ran out before it could renew it."},
	IncarnationOpened: {"IncarnationOpened", "The log opened an incarnation."},
	IncarnationClosed: {"IncarnationClosed", "The log closed an incarnation."},
	PartBorrowed:      {"PartBorrowed", "A peer reserved a part of a request for this node."},
	PartLent:          {"PartLent", "This node reserved a part of a peer's request out of its own share."},
	PartResolved:      {"PartResolved", "This node ended a part that it lent to a node since closed."},
	ShareMoved:        {"ShareMoved", "This node moved a part of its share to a peer, through the log."},
	ClosingSilent:     {"ClosingSilent", "This node asks the log to close an incarnation whose right to spend has surely run out."},
	RecoveryStarted:   {"RecoveryStarted", "This node settles what a closed incarnation left open."},
	RecoveryWaiting:   {"RecoveryWaiting", "Recovery waits for nodes that may know of requests of the closed incarnation."},
	RequestRecovered:  {"RequestRecovered", "Recovery decided what a request of a closed incarnation is billed."},
	RecoveryFinished:  {"RecoveryFinished", "A closed incarnation's unspent tokens are back in the pool."},
	ShareWrittenOff:   {"ShareWrittenOff", "A closed incarnation's tokens are written off: nobody could tell in time what it spent of them."},
	Unwitnessed:       {"Unwitnessed", "A request is dispatched though no other node could be told of it."},
	WitnessChanged:    {"WitnessChanged", "This node tells its open requests to another node from now on."},
	SettledForSilent:  {"SettledForSilent", "This node put into the log what a node that doesn't answer had told it of finished requests."},
}
