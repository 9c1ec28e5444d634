package peerfetch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/internal/memtopic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// bubbleClock is a boot clock in a test's own time.
type bubbleClock struct{}

func (bubbleClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// countingTopic counts the records that were read from the store.
type countingTopic struct {
	*memtopic.Topic
	read atomic.Int64
}

func (c *countingTopic) Newest(ctx context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	records, next, err := c.Topic.Newest(ctx, progress)
	c.read.Add(int64(len(records)))
	return records, next, err
}

func (c *countingTopic) Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]keyedlog.Record, int64, error) {
	records, next, err := c.Topic.Read(ctx, from, wait, progress)
	c.read.Add(int64(len(records)))
	return records, next, err
}

// copies answers asks out of peers' copies; a peer without one is dark.
type copies map[string]*Replica

func (c copies) Fetch(ctx context.Context, address string, ask Request, progress func()) (Reply, error) {
	held, ok := c[address]
	if !ok {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	progress()
	return held.Handle(ctx, ask), nil
}

// fourth returns the topic of the fourth of a data centre's nodes.
func fourth(store keyedlog.Topic, held copies) *Topic {
	peers := make([]Peer, 5)
	for i := range peers {
		name := fmt.Sprintf("n%d", i)
		peers[i] = Peer{Node: name, Address: name, Capacity: 100}
	}
	known := make(chan struct{})
	close(known)
	return &Topic{PeersKnown: known, Topic: store, Name: "config", Self: "n3", Peers: func() []Peer { return peers }, Transport: held, Replica: NewReplica(bubbleClock{}), Clock: bubbleClock{},
		Events: event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), "n3", 64, log.NewNopLogger())}
}

// unreachable is a store that answers nothing.
func unreachable() *memtopic.Topic {
	store := memtopic.New()
	store.Fail = context.DeadlineExceeded
	return store
}

func write(t *testing.T, store keyedlog.Topic, value string) {
	t.Helper()
	if err := store.Append(t.Context(), keyedlog.Fence{}, keyedlog.Record{Key: "config", Value: []byte(value)}); err != nil {
		t.Fatal(err)
	}
}

// A node that reads what a peer holds takes a second copy over the link to the store.
func TestReadsFromPeerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		first := NewReplica(bubbleClock{})
		n := fourth(store, copies{"n0": first})
		write(t, store, "1")
		first.Reset([]keyedlog.Record{record("config", 0)}, 1)
		_, next, err := n.Newest(t.Context(), func() {})
		is.NoErr(err)
		is.Equal(next, int64(1))
		write(t, store, "2")
		first.Extend(1, []keyedlog.Record{record("config", 1)}, 2)
		records, next, err := n.Read(t.Context(), next, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(next, int64(2))
		is.Equal(store.read.Load(), int64(0))
	})
}

// All nodes start while the link to the store is full, and the store's word on where the log
// ends doesn't come through. A node that waits for it knows no configuration for seconds.
func TestStartsFromPeerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := unreachable()
		first := NewReplica(bubbleClock{})
		first.Reset([]keyedlog.Record{record("config", 4)}, 5)
		n := fourth(store, copies{"n0": first})
		records, next, err := n.Newest(t.Context(), func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		_, _, err = n.Read(t.Context(), next, time.Second, func() {})
		is.Equal(err, context.DeadlineExceeded) // it doesn't count as up to date
		_, _, err = n.Newest(t.Context(), func() {})
		is.Equal(err, context.DeadlineExceeded)
	})
}

// A node is cut off from the store, or its link is full, while its peers learn of a change. It
// must not stay behind them.
func TestFetchesUpdatesFromPeersWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := unreachable()
		second := NewReplica(bubbleClock{})
		second.Reset([]keyedlog.Record{record("config", 4)}, 5)
		n := fourth(store, copies{"n1": second})
		n.Replica.Reset([]keyedlog.Record{record("config", 4)}, 5)
		_, _, err := n.Read(t.Context(), 5, time.Second, func() {})
		is.Equal(err, context.DeadlineExceeded)
		second.Extend(5, []keyedlog.Record{record("config", 5)}, 6)
		records, next, err := n.Read(t.Context(), 5, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(next, int64(6))
		second.Extend(6, []keyedlog.Record{record("config", 6)}, 7)
		_, next, err = n.Newest(t.Context(), func() {})
		is.NoErr(err)
		is.Equal(next, int64(7))
	})
}

// Peers that are dark, or that are cut off from the store and don't know it, must not keep a
// node behind.
func TestReadsStoreWhenPeersAreBehind(t *testing.T) {
	for name, held := range map[string]copies{"dark": {}, "behind": {"n0": NewReplica(bubbleClock{}), "n1": NewReplica(bubbleClock{})}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &countingTopic{Topic: memtopic.New()}
				write(t, store, "1")
				for _, c := range held {
					c.Reset(nil, 0)
				}
				n := fourth(store, held)
				begun := time.Now()
				records, _, err := n.Read(t.Context(), 0, time.Second, func() {})
				is.NoErr(err)
				is.Equal(string(records[0].Value), "1")
				is.True(time.Since(begun) <= mostPatience+asked*peerTimeout)
			})
		})
	}
}

// A peer takes long to receive a large configuration itself. Nodes that read the store
// meanwhile delay it and themselves.
func TestWaitsForPeerThatIsReceiving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		write(t, store, "1")
		first := NewReplica(bubbleClock{})
		first.Reset(nil, 0)
		go func() {
			records, next, _ := first.receive(func() {}, func(progress func()) ([]keyedlog.Record, int64, error) {
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					progress()
				}
				return []keyedlog.Record{record("config", 0)}, 1, nil
			})
			first.Extend(0, records, next)
		}()
		n := fourth(store, copies{"n0": first, "n1": NewReplica(bubbleClock{})})
		records, _, err := n.Read(t.Context(), 0, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(store.read.Load(), int64(0))
	})
}

// A peer's reading stalls. It must not be waited for any longer than one that never began.
func TestReadsStoreWhenPeerStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		write(t, store, "1")
		first := NewReplica(bubbleClock{})
		first.Reset(nil, 0)
		stalled, end := context.WithTimeout(t.Context(), 10*time.Second)
		defer end()
		go func() {
			_, _, _ = first.receive(func() {}, func(progress func()) ([]keyedlog.Record, int64, error) {
				progress()
				<-stalled.Done()
				return nil, 0, stalled.Err()
			}) // the reading fails on purpose
		}()
		n := fourth(store, copies{"n0": first})
		begun := time.Now()
		_, _, err := n.Read(t.Context(), 0, time.Second, func() {})
		is.NoErr(err)
		is.True(time.Since(begun) <= arrivingFor+mostPatience+asked*peerTimeout)
	})
}

// The store's word on the end is seconds old. A node that asked peers for less than it has would
// ask again and again, and one that waited for the old end would hear nothing.
func TestStaleEndIsReadFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memtopic.New()
		write(t, store, "1")
		write(t, store, "2")
		ahead := NewReplica(bubbleClock{})
		ahead.Reset(nil, 9)
		n := fourth(staleEnd{store, 0}, copies{"n0": ahead, "n1": ahead})
		records, next, err := n.Read(t.Context(), 1, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(next, int64(2))
	})
}

// staleEnd is a topic whose end is told late.
type staleEnd struct {
	*memtopic.Topic
	end int64
}

func (s staleEnd) End(context.Context) (int64, error) { return s.end, nil }

// Nodes with the most room send what the others fetch; a small data centre needs none of it.
func TestRanksByCapacity(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{Node: "a", Capacity: 48}, {Node: "b", Capacity: 200}, {Node: "c", Capacity: 48}, {Node: "d", Capacity: 200}}
	place, sources := rank("c", peers)
	is.Equal(place, 3)
	is.Equal([]string{sources[0].Node, sources[1].Node}, []string{"b", "d"})
	place, sources = rank("d", peers)
	is.Equal(place, 1)
	is.Equal(len(sources), 1)
	place, _ = rank("b", peers)
	is.Equal(place, 0)
	place, _ = rank("c", peers[:3])
	is.Equal(place, 0)
	place, _ = rank("unlisted", peers)
	is.Equal(place, 0)
}

// A configuration holds callers' keys: whoever isn't a node of the fleet must not get it.
func TestHandlerServesOnlyNodes(t *testing.T) {
	is := is.New(t)
	held := NewReplica(bubbleClock{})
	held.Reset([]keyedlog.Record{record("config", 0)}, 1)
	node := true
	server := httptest.NewServer(Handler(map[string]*Replica{"config": held}, func(string) bool { return node }))
	defer server.Close()
	client := &Client{HTTP: httpwire.NewClient(httpwire.Options{Clock: bootclock.System{}, DialTimeout: time.Second})}
	address := server.Listener.Addr().String()
	reply, err := client.Fetch(t.Context(), address, Request{Topic: "config", From: -1, End: 1}, func() {})
	is.NoErr(err)
	is.Equal(reply, Reply{Records: []keyedlog.Record{record("config", 0)}, Next: 1})
	_, err = client.Fetch(t.Context(), address, Request{Topic: "spend", From: -1}, func() {})
	is.True(err != nil)
	node = false
	_, err = client.Fetch(t.Context(), address, Request{Topic: "config", From: -1, End: 1}, func() {})
	is.True(err != nil)
	resp, err := http.Get(server.URL + Path)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusMethodNotAllowed)
	_ = resp.Body.Close()
}
