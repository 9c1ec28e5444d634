package event

// Log, configuration and operator events.
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
	RegionUnknown   Number = 211
	// OperatorCalled is the first number reserved for audit events.
	OperatorCalled Number = 240
)

var logKinds = map[Number]Kind{
	OperatorCalled:  {"OperatorCalled", "An operator called this node; outcome and reason tell whether the call was accepted."},
	LogUnreachable:  {"LogUnreachable", "The platform's log stopped responding to this node."},
	LogReachable:    {"LogReachable", "The platform's log responds to this node again."},
	RegionUnknown:   {"RegionUnknown", "The configuration in force names a region that has no data centre; requests that only it may serve are refused."},
	ConfigAccepted:  {"ConfigAccepted", "An operator's change was accepted and read back from the log."},
	ConfigRefused:   {"ConfigRefused", "An operator's change conflicted with another one or broke a rule."},
	ConfigInForce:   {"ConfigInForce", "A change took effect on this node."},
	OperatorRefused: {"OperatorRefused", "An operator call was refused because of its token or role."},
	GathererFailed:  {"GathererFailed", "The node that appends for this data centre did not respond; this node appends for itself for a while."},
	LogReadLate:     {"LogReadLate", "A topic of the log was read later than usual, although no read had failed."},
	BatchVoid:       {"BatchVoid", "A batch was void because its sequence number had passed."},
}
