package event

// Events of the log, configuration and operators.
const (
	LogUnreachable  Number = 201
	LogReachable    Number = 202
	ConfigAccepted  Number = 203
	ConfigRefused   Number = 204
	ConfigInForce   Number = 205
	OperatorRefused Number = 206
	BatchVoid       Number = 207
	LogReadLate     Number = 208
	GathererFailed  Number = 210
	// OperatorCalled is the first of the audit events.
	OperatorCalled Number = 240
)

var logKinds = map[Number]Kind{
	OperatorCalled:  {"OperatorCalled", "An operator called this node; outcome and reason tell whether it was accepted."},
	LogUnreachable:  {"LogUnreachable", "The platform's log stopped answering this node."},
	LogReachable:    {"LogReachable", "The platform's log answers this node again."},
	ConfigAccepted:  {"ConfigAccepted", "An operator's change won and was read back."},
	ConfigRefused:   {"ConfigRefused", "An operator's change lost against another or broke a rule."},
	ConfigInForce:   {"ConfigInForce", "A change took effect on this node."},
	OperatorRefused: {"OperatorRefused", "An operator call was refused for its token or role."},
	GathererFailed:  {"GathererFailed", "The node that appends for this data centre gave no answer; this node appends for itself for a while."},
	LogReadLate:     {"LogReadLate", "A topic of the log was read later than usual, though no reading had failed."},
	BatchVoid:       {"BatchVoid", "A batch was void because its sequence had passed."},
}
