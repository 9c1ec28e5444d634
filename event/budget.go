package event

// Budget events.
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
	ShareRefused:      {"ShareRefused", "The log granted this node no tokens of a budget."},
	ShareReturned:     {"ShareReturned", "This node returned tokens to the budget's pool."},
	TopUpInForce:      {"TopUpInForce", "A top-up took effect on this node."},
	SpendRightLapsed:  {"SpendRightLapsed", "The node's right to spend expired before it was renewed."},
	IncarnationOpened: {"IncarnationOpened", "The log opened an incarnation."},
	IncarnationClosed: {"IncarnationClosed", "The log closed an incarnation."},
	PartBorrowed:      {"PartBorrowed", "A peer reserved a part of a request for this node."},
	PartLent:          {"PartLent", "This node reserved a part of a peer's request from its own share."},
	PartResolved:      {"PartResolved", "This node resolved a part that it had lent to a node that has since been closed."},
	ShareMoved:        {"ShareMoved", "This node transferred a part of its share to a peer through the log."},
	ClosingSilent:     {"ClosingSilent", "This node asks the log to close an incarnation whose right to spend has certainly expired."},
	RecoveryStarted:   {"RecoveryStarted", "This node settles the requests that a closed incarnation left open."},
	RecoveryWaiting:   {"RecoveryWaiting", "Recovery waits for nodes that may know of requests of the closed incarnation."},
	RequestRecovered:  {"RequestRecovered", "Recovery determined how many tokens are billed for a request of a closed incarnation."},
	RecoveryFinished:  {"RecoveryFinished", "The unspent tokens of a closed incarnation were returned to the pool."},
	ShareWrittenOff:   {"ShareWrittenOff", "The tokens of a closed incarnation were written off: how many it had spent could not be determined in time."},
	Unwitnessed:       {"Unwitnessed", "A request was dispatched although no other node could be told of it."},
	WitnessChanged:    {"WitnessChanged", "This node reports its open requests to another node from now on."},
	SettledForSilent:  {"SettledForSilent", "This node appended to the log the finished requests that an unresponsive node had reported to it."},
}
