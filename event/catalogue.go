package event

// Kind describes a number for the catalogue in the docs.
type Kind struct {
	Name string
	// Meaning is one sentence for people.
	Meaning string
}

// Kind returns the description of the number.
func (n Number) Kind() Kind { return catalogue[n] }

// All returns every known event.
func All() map[Number]Kind {
	all := make(map[Number]Kind, len(catalogue))
	for number, kind := range catalogue {
		all[number] = kind
	}
	return all
}

var catalogue = map[Number]Kind{
	NodeStarting:       {"NodeStarting", "A node incarnation starts and reads the log."},
	NodeServing:        {"NodeServing", "The node holds the configuration and takes requests."},
	NodeDraining:       {"NodeDraining", "The node takes no new addresses and finishes what it has."},
	NodeStopped:        {"NodeStopped", "The node settled everything and ended."},
	NodeClosed:         {"NodeClosed", "The node learned that the fleet closed its incarnation."},
	PanicRecovered:     {"PanicRecovered", "A request hit a defect; the node goes on."},
	LogUnreachable:     {"LogUnreachable", "The platform's log stopped answering this node."},
	LogReachable:       {"LogReachable", "The platform's log answers this node again."},
	ConfigAccepted:     {"ConfigAccepted", "An operator's change won and was read back."},
	ConfigRefused:      {"ConfigRefused", "An operator's change lost against another or broke a rule."},
	ConfigInForce:      {"ConfigInForce", "A change took effect on this node."},
	OperatorRefused:    {"OperatorRefused", "An operator call was refused for its token or role."},
	BatchVoid:          {"BatchVoid", "A batch was void because its sequence had passed."},
	ShareGranted:       {"ShareGranted", "The log granted this node tokens of a budget."},
	ShareRefused:       {"ShareRefused", "The log granted this node nothing."},
	ShareReturned:      {"ShareReturned", "This node gave tokens back to the pool."},
	TopUpInForce:       {"TopUpInForce", "A top-up took effect on this node."},
	SpendRightLapsed:   {"SpendRightLapsed", "The node's right to spend ran out before it could renew it."},
	IncarnationOpened:  {"IncarnationOpened", "The log opened an incarnation."},
	IncarnationClosed:  {"IncarnationClosed", "The log closed an incarnation."},
	RequestAdmitted:    {"RequestAdmitted", "Tokens are reserved for a request."},
	RequestRefused:     {"RequestRefused", "A request was refused; the code tells why."},
	RequestDispatched:  {"RequestDispatched", "A request was sent to an upstream."},
	RequestFinished:    {"RequestFinished", "The caller got the whole answer."},
	RequestFailed:      {"RequestFailed", "A request failed after it was sent."},
	RequestSettled:     {"RequestSettled", "The settlement of a request is in the log."},
	CallerLeft:         {"CallerLeft", "The caller left before the answer was complete."},
	UpstreamUnhealthy:  {"UpstreamUnhealthy", "An upstream gets no new work."},
	UpstreamHealthy:    {"UpstreamHealthy", "An upstream gets new work again."},
	AnswerRejected:     {"AnswerRejected", "An upstream's answer was cut or for another request."},
	PeerJoined:         {"PeerJoined", "Another node answers."},
	PeerSuspect:        {"PeerSuspect", "Another node stopped answering."},
	PeerGone:           {"PeerGone", "Another node is taken as gone for routing."},
	LeaseTaken:         {"LeaseTaken", "This node took a lease."},
	LeaseLost:          {"LeaseLost", "This node lost or gave up a lease."},
	AddressesHandedOut: {"AddressesHandedOut", "A caller was told which addresses to use."},
}
