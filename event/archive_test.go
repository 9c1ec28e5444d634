package event

import (
	"testing"

	"github.com/matryer/is"
)

// A node fails and its ring is lost. Another node that archived its events must return
// each of them once, however often they were fetched.
func TestArchiveKeepsEventsOfFailedNode(t *testing.T) {
	is := is.New(t)
	a := NewArchive(3)
	first := []Event{{Timestamp: 1, Node: "dead"}, {Timestamp: 3, Node: "dead"}}
	a.Add("dead", first, 0)
	a.Add("dead", first, 0)
	kept, missing := a.Find("")
	is.Equal(len(kept), 2)
	is.Equal(missing, uint64(0))
	is.Equal(a.LastTimestamp("dead"), Timestamp(3))

	a.Add("dead", []Event{{Timestamp: 5, Node: "dead"}, {Timestamp: 6, Node: "dead"}}, 4)
	kept, missing = a.Find("")
	is.Equal(len(kept), 3)
	is.Equal(missing, uint64(5)) // four omitted by the node, one dropped here

	merged := Merge(append(kept, Event{Timestamp: 5, Node: "dead"}, Event{Timestamp: 4, Node: "alive"}))
	is.Equal(len(merged), 4)
	is.Equal(merged[1].Node, "alive")
}
