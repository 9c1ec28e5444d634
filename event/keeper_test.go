package event

import (
	"testing"

	"github.com/matryer/is"
)

// A node dies, and its own ring with it. Another node that kept its events can still
// tell what it did, once each, however often they were fetched.
func TestArchiveKeepsEventsOfFailedNode(t *testing.T) {
	is := is.New(t)
	k := NewArchive(3)
	first := []Event{{Timestamp: 1, Node: "dead"}, {Timestamp: 3, Node: "dead"}}
	k.Add("dead", first, 0)
	k.Add("dead", first, 0)
	kept, missing := k.Find("")
	is.Equal(len(kept), 2)
	is.Equal(missing, uint64(0))
	is.Equal(k.LastTimestamp("dead"), Timestamp(3))

	k.Add("dead", []Event{{Timestamp: 5, Node: "dead"}, {Timestamp: 6, Node: "dead"}}, 4)
	kept, missing = k.Find("")
	is.Equal(len(kept), 3)
	is.Equal(missing, uint64(5)) // four never sent, one pushed out

	merged := Merge(append(kept, Event{Timestamp: 5, Node: "dead"}, Event{Timestamp: 4, Node: "alive"}))
	is.Equal(len(merged), 4)
	is.Equal(merged[1].Node, "alive")
}
