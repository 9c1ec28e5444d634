package event

import (
	"sort"
	"strings"
)

// Describe returns a human-readable description of the event. Fields that the description
// doesn't use follow in brackets.
func (e Event) Describe() string {
	template, known := descriptions[e.Number]
	if !known {
		template = e.Number.Kind().Meaning
	}
	used := map[string]bool{}
	text := template
	for name, value := range e.Fields {
		if strings.Contains(text, "{"+name+"}") {
			text = strings.ReplaceAll(text, "{"+name+"}", value)
			used[name] = true
		}
	}
	if strings.Contains(text, "{") {
		// The event lacks a field of its description: its kind is recorded in two ways.
		text, used = e.Number.Kind().Meaning, map[string]bool{}
	}
	return text + e.unusedFields(used)
}

func (e Event) unusedFields(used map[string]bool) string {
	var unused []string
	for name, value := range e.Fields {
		if !used[name] && value != "" {
			unused = append(unused, name+" "+value)
		}
	}
	if len(unused) == 0 {
		return ""
	}
	sort.Strings(unused)
	return " [" + strings.Join(unused, ", ") + "]"
}

// descriptions holds templates for events of requests and of node lifecycles; names in
// braces are fields. An event without a template is described by its meaning.
var descriptions = map[Number]string{
	NodeStarting:       "The node started in {data_centre} ({region}) and read the log.",
	NodeServing:        "The node began to serve.",
	NodeDraining:       "The node began a planned shutdown: its address is no longer handed out and it finishes its open requests.",
	NodeStopped:        "The node settled all its requests and stopped.",
	NodeClosed:         "The node learned that the fleet had closed it, and stopped serving.",
	IncarnationClosed:  "The log closed {incarnation}: {why}.",
	RequestAdmitted:    "{tokens} tokens of budget {budget} were reserved for request {request} of account {account}.",
	RequestRefused:     "A request of account {account} was refused with code {code}: {why}.",
	RequestDispatched:  "Request {request} was sent to {upstream}.",
	StreamTakenUp:      "The caller took up the stream that attempt {resumes} began, after event {after}. It began at version {version} of {service}, as this node knows by: {source}.",
	VersionUncertain:   "Request {request} began at {upstream}, which had restarted since its entry (version {version}): its version isn't known.",
	RequestFinished:    "The caller got the complete response; {tokens} tokens are billed.",
	RequestFailed:      "The request failed with code {code}: {why}. Nothing is billed.",
	CallerLeft:         "The caller disconnected before the response was complete; {tokens} tokens are billed.",
	EventInvalid:       "{upstream} sent {bytes} bytes after event {after} that are not event {due}: {why}.",
	EntryDropped:       "An entry of {upstream} ({reason}) was dropped: it may have been executed late.",
	AnswerRejected:     "A response of {upstream} was invalid and was not accepted as complete: {why}.",
	ShareGranted:       "The log granted this node {tokens} tokens of budget {budget}.",
	TopUpInForce:       "Top-up {top_up} of {tokens} tokens for budget {budget} by {operator} took effect.",
	ConfigAccepted:     "Change {change} by {operator} was accepted at log offset {offset}.",
	ConfigRefused:      "Change {change} by {operator} was refused at log offset {offset}.",
	ConfigInForce:      "{resource} took effect here in version {version}.",
	PeerSuspect:        "Node {peer} stopped responding.",
	PeerJoined:         "Node {peer} responds.",
	PeerGone:           "Node {peer} is treated as gone.",
	AddressesHandedOut: "A caller was told {count} addresses.",
}
