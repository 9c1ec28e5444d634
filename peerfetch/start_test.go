package peerfetch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/memtopic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// starting returns the topic of a node that starts with so many nodes of its data centre
// and of the fleet known.
func starting(store keyedlog.Topic, held copies, near, fleet int) *Topic {
	topic := fourth(store, held)
	topic.Self, topic.NewestOnly = "new", true
	peers := topic.Peers()[:min(near, len(topic.Peers()))]
	topic.Peers = func() []Peer { return peers }
	topic.FleetSize = func() int { return fleet }
	return topic
}

// Guards against a starting node that reads all records from the store because its own
// record isn't read back yet, without which its neighbours refuse it.
func TestStartingNodeWaitsUntilListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		write(t, store, "1")
		held := NewReplica(bubbleClock{})
		held.Reset([]keyedlog.Record{{Key: "config", Value: []byte("1")}}, 1)
		topic := starting(store, copies{"n0": held, "n1": held}, 5, 20)
		known := topic.Peers()
		listed := atomic.Bool{}
		topic.Peers = func() []Peer {
			if listed.Load() {
				return append([]Peer{{Node: "new", Address: "new", Capacity: 10}}, known...)
			}
			return known
		}
		time.AfterFunc(300*time.Millisecond, func() { listed.Store(true) })
		records, _, err := topic.Newest(t.Context(), func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(store.read.Load(), int64(0))
	})
}

// Guards against nodes of a small fleet that wait for neighbours who will never come, while
// their callers wait for an upstream.
func TestSmallFleetDoesNotWaitForPeers(t *testing.T) {
	for _, near := range []int{0, 1, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &countingTopic{Topic: memtopic.New()}
			write(t, store, "1")
			begun := time.Now()
			_, _, err := starting(store, nil, near, 7).Newest(t.Context(), func() {})
			is.NoErr(err)
			is.Equal(time.Since(begun), time.Duration(0))
			is.Equal(store.read.Load(), int64(1))
		})
	}
}

// Guards against nodes of a large fleet's first start that each read all records, since
// nobody is known yet.
func TestFirstStartOfLargeFleetWaitsForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		for i := range manyRecords {
			write(t, store, fmt.Sprint(i))
		}
		begun := time.Now()
		_, _, err := starting(store, nil, 0, 0).Newest(t.Context(), func() {})
		is.NoErr(err)
		is.True(time.Since(begun) >= knownPatience) // nobody came
	})
}
