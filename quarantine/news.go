package quarantine

import (
	"slices"
	"time"
)

// maxToldParts bounds the parts of one request that are suspected.
const maxToldParts = 64

// News is what a node tells others.
type News struct {
	// Node is the node that tells.
	Node string `json:"n"`
	// Crashes are the crashes of upstreams under requests of that node.
	Crashes []ToldCrash `json:"e,omitempty"`
	// Answered are requests with crashes that were answered completely.
	Answered []ID `json:"a,omitempty"`
	// AnsweredAgoMs is how many milliseconds ago each of them was; what it doesn't tell was just now.
	AnsweredAgoMs []int64 `json:"aa,omitempty"`
	// Begun are suspected parts with which an answer began at that node; BegunAgoMs is how long ago, in milliseconds.
	Begun      []ID  `json:"g,omitempty"`
	BegunAgoMs int64 `json:"ga,omitempty"`
	// Blocks are parts that were blocked or lifted.
	Blocks []Block `json:"b,omitempty"`
	// PassOn asks the receiver to tell the nodes of its data centre.
	PassOn bool `json:"p,omitempty"`
	// Deferred lets the news wait to be sent together with more: nobody waits until it is told.
	Deferred bool `json:"-"`
}

// ToldCrash is a Crash on its way between nodes.
type ToldCrash struct {
	ID       ID `json:"i"`
	Request  ID `json:"r"`
	Upstream ID `json:"u"`
	Life     ID `json:"l,omitempty"`
	// Opened reports whether the headers of an answer had come.
	Opened bool `json:"o,omitempty"`
	// AgoMs is how long ago the upstream crashed, in milliseconds: clocks of nodes don't agree.
	AgoMs int64 `json:"t"`
	// SentMs is how long before that the request was sent.
	SentMs int64 `json:"s,omitempty"`
	// Account is the client account, Parts are the suspected parts of the prompt.
	Account string     `json:"a,omitempty"`
	Parts   []ToldPart `json:"p,omitempty"`
}

// ToldPart is a Part on its way between nodes.
type ToldPart struct {
	ID    string `json:"i"`
	Model string `json:"m,omitempty"`
}

// tell returns a crash as told at a time.
func tell(e Crash, now time.Duration) ToldCrash {
	told := ToldCrash{ID: e.ID, Request: e.Request, Upstream: e.Upstream, Life: e.Life, Opened: e.Opened, AgoMs: max(0, now-e.At).Milliseconds(), SentMs: max(0, e.At-e.SentAt).Milliseconds()}
	if len(e.Parts) > 0 {
		told.Account = e.Account
	}
	for _, p := range e.Parts {
		told.Parts = append(told.Parts, ToldPart(p))
	}
	return told
}

// heard returns the crash that another node told of.
func (t ToldCrash) heard(now time.Duration) Crash {
	ago := max(0, time.Duration(t.AgoMs)*time.Millisecond)
	e := Crash{ID: t.ID, Request: t.Request, Upstream: t.Upstream, Life: t.Life, Opened: t.Opened, Account: t.Account, At: now - ago}
	e.SentAt = e.At - max(0, time.Duration(t.SentMs)*time.Millisecond)
	for _, p := range t.Parts[:min(maxToldParts, len(t.Parts))] {
		e.Parts = append(e.Parts, Part(p))
		e.PartIDs = append(e.PartIDs, Part(p).id())
	}
	return e
}

// size returns how many things the news tells.
func (n *News) size() int { return len(n.Crashes) + len(n.Answered) + len(n.Begun) + len(n.Blocks) }

// isDecisive reports whether the news counts for or against parts of prompts. Told late, crashes come together at a node that
// hasn't heard of the answers in between.
func (n *News) isDecisive() bool {
	return len(n.Blocks)+len(n.Begun) > 0 || slices.ContainsFunc(n.Crashes, func(e ToldCrash) bool { return len(e.Parts) > 0 })
}

// split returns news as messages that tell a number of things at most each.
func split(n News, most int) []News {
	var messages []News
	for n.size() > most {
		m := News{Node: n.Node, BegunAgoMs: n.BegunAgoMs}
		room := most
		m.Crashes, n.Crashes = cut(n.Crashes, &room)
		answered := min(room, len(n.Answered))
		m.AnsweredAgoMs, n.AnsweredAgoMs = cut(n.AnsweredAgoMs, &answered)
		m.Answered, n.Answered = cut(n.Answered, &room)
		m.Begun, n.Begun = cut(n.Begun, &room)
		m.Blocks, n.Blocks = cut(n.Blocks, &room)
		messages = append(messages, m)
	}
	return append(messages, n)
}

// cut cuts off the elements of a list for which there is room.
func cut[T any](list []T, room *int) (first, rest []T) {
	n := min(len(list), *room)
	*room -= n
	return list[:n], list[n:]
}

// answeredAgoMs returns how long ago one of the answered requests was, in milliseconds.
func (n News) answeredAgoMs(i int) int64 {
	if i >= len(n.AnsweredAgoMs) {
		return 0
	}
	return n.AnsweredAgoMs[i]
}

// Aged returns the news as told a time later.
func (n News) Aged(by time.Duration) News {
	crashes := make([]ToldCrash, len(n.Crashes))
	for i, e := range n.Crashes {
		e.AgoMs += by.Milliseconds()
		crashes[i] = e
	}
	n.Crashes = crashes
	ages := make([]int64, len(n.Answered))
	for i := range ages {
		ages[i] = n.answeredAgoMs(i) + by.Milliseconds()
	}
	n.AnsweredAgoMs = ages
	n.BegunAgoMs += by.Milliseconds()
	n.Blocks = slices.Clone(n.Blocks)
	for i := range n.Blocks {
		n.Blocks[i].AgoMs += by.Milliseconds()
	}
	return n
}
