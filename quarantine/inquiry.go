package quarantine

import (
	"context"
	"slices"
	"time"
)

// Inquiry asks other nodes about a request that a node wants to send although upstreams crashed under it.
type Inquiry struct {
	Request ID `json:"r"`
	// Permit identifies the send that waits: of several, the one with the smallest ID goes first.
	Permit ID `json:"t"`
	// Crashes are those that the asking node knows of.
	Crashes []ToldCrash `json:"e,omitempty"`
}

// knows reports whether the asking node knows of a crash.
func (q *Inquiry) knows(crash ID) bool {
	return slices.ContainsFunc(q.Crashes, func(e ToldCrash) bool { return e.ID == crash })
}

// Inquiries are what a node asks at once.
type Inquiries struct {
	// Node is the node that asks.
	Node string    `json:"n"`
	List []Inquiry `json:"q"`
	// PassOn asks the receiver to ask the other nodes of its data centre, and to answer for them as well.
	PassOn bool `json:"p,omitempty"`
}

// aged returns the inquiries as asked a time later.
func (q Inquiries) aged(by time.Duration) Inquiries {
	list := make([]Inquiry, len(q.List))
	for i, one := range q.List {
		one.Crashes = News{Crashes: one.Crashes}.Aged(by).Crashes
		list[i] = one
	}
	q.List = list
	return q
}

// Standing is what a node, or several, know of a request.
type Standing struct {
	Crashes []ToldCrash `json:"e,omitempty"`
	// Sends is how many sends are under way there, Permits are those that wait for their permit.
	Sends   int  `json:"s,omitempty"`
	Permits []ID `json:"t,omitempty"`
	// Answered tells that an equal request was answered completely, AnsweredAgoMs how many milliseconds ago at least, Answers how often there
	// in the last half a minute or minute.
	Answered      bool  `json:"a,omitempty"`
	AnsweredAgoMs int64 `json:"aa,omitempty"`
	Answers       int   `json:"an,omitempty"`
}

// merge returns what two standings tell together.
func (s Standing) merge(other Standing) Standing {
	s.Crashes = append(s.Crashes, other.Crashes...)
	s.Sends += other.Sends
	s.Answers += other.Answers
	s.Permits = append(s.Permits, other.Permits...)
	if other.Answered && (!s.Answered || other.AnsweredAgoMs < s.AnsweredAgoMs) {
		s.Answered, s.AnsweredAgoMs = true, other.AnsweredAgoMs
	}
	return s
}

// othersBefore returns how many sends of other nodes go before one with a permit.
func (s Standing) othersBefore(permit ID) int {
	before := s.Sends
	for _, t := range s.Permits {
		if t < permit {
			before++
		}
	}
	return before
}

// Asker asks other nodes.
type Asker interface {
	// Ask returns what the other nodes know together, those left out that don't answer. ok is false if they couldn't be asked
	// soon, or before ctx ended.
	Ask(ctx context.Context, q Inquiry) (known Standing, ok bool)
}
