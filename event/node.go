package event

// Node lifecycle events.
const (
	NodeStarting   Number = 101
	NodeServing    Number = 102
	NodeDraining   Number = 103
	NodeStopped    Number = 104
	NodeClosed     Number = 105
	PanicRecovered Number = 106
	LinesDropped   Number = 107
	SettingsRead   Number = 108
	MetricsAbsent  Number = 109
	ConnectionsCut Number = 110
	ProcessorLate  Number = 111
	ExchangesLate  Number = 112
	LinkBusy       Number = 113
	// ConnectionsRefused and ListenFailed are of the listener for callers.
	ConnectionsRefused Number = 114
	ListenFailed       Number = 115
	LinkCrowded        Number = 116
)

var nodeKinds = map[Number]Kind{
	NodeStarting:       {"NodeStarting", "A node incarnation starts and reads the log."},
	NodeServing:        {"NodeServing", "The node has the configuration and accepts requests."},
	NodeDraining:       {"NodeDraining", "The node's address is no longer handed out; the node finishes its open requests."},
	NodeStopped:        {"NodeStopped", "The node settled all its requests and stopped."},
	NodeClosed:         {"NodeClosed", "The node learned that the fleet closed its incarnation."},
	LinesDropped:       {"LinesDropped", "Log lines were dropped because the output was too slow; the count follows."},
	ProcessorLate:      {"ProcessorLate", "Since the last such line, this many measurements found that what the process could do waited long for a processor; it is written at most once a second."},
	ExchangesLate:      {"ExchangesLate", "Since the last such line, this many exchanges with other nodes waited long on the link or in this process; in_kb, out_kb are the kilobytes a second that the node receives and sends, link_percent is how much of the link's speed is used. It is written at most once a second."},
	ConnectionsRefused: {"ConnectionsRefused", "New connections of callers are refused for a moment, since what callers send queues on the instance's link; times and shut_ms count since the start. It is written at most once a second."},
	ListenFailed:       {"ListenFailed", "The listener for callers couldn't be opened again; it is tried again at once."},
	LinkCrowded:        {"LinkCrowded", "Callers began to ask for more than the instance's link carries (crowded=true), or ask for less again; while they do, requests that use much of it are refused by their headers (402 with code 5013)."},
	LinkBusy:           {"LinkBusy", "Much of the instance's link is used, in one direction at least; it is written at most once a second."},
	SettingsRead:       {"SettingsRead", "The settings were reloaded; each changed setting is in force or named."},
	MetricsAbsent:      {"MetricsAbsent", "The metrics can't be served on their configured address; the node still serves callers."},
	ConnectionsCut:     {"ConnectionsCut", "Connections were still open when the node ended; callers may lack the end of a response."},
	PanicRecovered:     {"PanicRecovered", "A request caused a panic; the node continues."},
}
