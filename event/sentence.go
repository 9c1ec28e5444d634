package event

import (
	"sort"
	"strings"
)

// Describe tells an event in plain words, for people who don't know the code. Every
// field that the sentence doesn't use follows in brackets.
func (e Event) Describe() string {
	template, known := sentences[e.Number]
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
		// The event lacks a field of its sentence: its kind is recorded in two ways.
		text, used = e.Number.Kind().Meaning, map[string]bool{}
	}
	return text + e.rest(used)
}

func (e Event) rest(used map[string]bool) string {
	var rest []string
	for name, value := range e.Fields {
		if !used[name] && value != "" {
			rest = append(rest, name+" "+value)
		}
	}
	if len(rest) == 0 {
		return ""
	}
	sort.Strings(rest)
	return " [" + strings.Join(rest, ", ") + "]"
}

// sentences hold a template for each event of a request's or a node's story; the
// names in braces are fields. An event without one is told by its meaning.
var sentences = map[Number]string{
	NodeStarting:       "The node started in {data_centre} ({region}) and read the log.",
	NodeServing:        "The node began to serve.",
	NodeDraining:       "The node began a planned stop: it is no longer handed out and finishes what it has.",
	NodeStopped:        "The node had settled everything and ended.",
	NodeClosed:         "The node learned that the fleet had closed it, and served no more.",
	IncarnationClosed:  "The log closed {incarnation}: {why}.",
	RequestAdmitted:    "{tokens} tokens of budget {budget} were reserved for request {request} of account {account}.",
	RequestRefused:     "A request of account {account} was refused with code {code}: {why}.",
	RequestDispatched:  "Request {request} was sent to {upstream}.",
	RequestFinished:    "The caller got the whole answer; {tokens} tokens are billed.",
	RequestFailed:      "The request failed with code {code}: {why}. Nothing is billed.",
	CallerLeft:         "The caller left before the answer was complete; {tokens} tokens are billed.",
	AnswerRejected:     "{upstream} answered wrongly, and nothing of that was taken as whole: {why}.",
	ShareGranted:       "The log granted this node {tokens} tokens of budget {budget}.",
	TopUpInForce:       "Top-up {top_up} of {tokens} tokens for budget {budget} by {operator} took effect.",
	ConfigAccepted:     "Change {change} by {operator} was accepted at log offset {offset}.",
	ConfigRefused:      "Change {change} by {operator} was refused at log offset {offset}.",
	ConfigInForce:      "{resource} took effect here in version {version}.",
	PeerSuspect:        "Node {peer} stopped answering.",
	PeerJoined:         "Node {peer} answers.",
	PeerGone:           "Node {peer} is taken as gone.",
	AddressesHandedOut: "A caller was told {count} addresses.",
}
