package event

// Events of a node's life.
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
)

var nodeKinds = map[Number]Kind{
	NodeStarting:   {"NodeStarting", "A node incarnation starts and reads the log."},
	NodeServing:    {"NodeServing", "The node holds the configuration and takes requests."},
	NodeDraining:   {"NodeDraining", "The node takes no new addresses and finishes what it has."},
	NodeStopped:    {"NodeStopped", "The node settled everything and ended."},
	NodeClosed:     {"NodeClosed", "The node learned that the fleet closed its incarnation."},
	LinesDropped:   {"LinesDropped", "Log lines were dropped because the output took them too slowly; the count follows."},
	SettingsRead:   {"SettingsRead", "The settings were read again; what changed is in force or named."},
	MetricsAbsent:  {"MetricsAbsent", "The metrics can't be served on the address set for them; the node serves callers all the same."},
	PanicRecovered: {"PanicRecovered", "A request hit a defect; the node goes on."},
}
