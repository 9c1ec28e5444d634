package event

import (
	"testing"

	"github.com/matryer/is"
)

// A node dies, and its own ring with it. Another node that kept its events can still
// tell what it did, once each, however often they were fetched.
func TestKeeperTellsOfADeadNode(t *testing.T) {
	is := is.New(t)
	k := NewKeeper(3)
	first := []Event{{Stamp: 1, Node: "dead"}, {Stamp: 3, Node: "dead"}}
	k.Keep("dead", first, 0)
	k.Keep("dead", first, 0)
	kept, missing := k.Since("")
	is.Equal(len(kept), 2)
	is.Equal(missing, uint64(0))
	is.Equal(k.After("dead"), Stamp(3))

	k.Keep("dead", []Event{{Stamp: 5, Node: "dead"}, {Stamp: 6, Node: "dead"}}, 4)
	kept, missing = k.Since("")
	is.Equal(len(kept), 3)
	is.Equal(missing, uint64(5)) // four never sent, one pushed out

	merged := Merge(append(kept, Event{Stamp: 5, Node: "dead"}, Event{Stamp: 4, Node: "alive"}))
	is.Equal(len(merged), 4)
	is.Equal(merged[1].Node, "alive")
}
