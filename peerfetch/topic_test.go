package peerfetch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/internal/bubble"
	"lavenderpin.dev/lavenderpin/internal/memtopic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// synctestClock is a boot clock that follows the fake time of a synctest bubble.
type synctestClock struct{}

func (synctestClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// countingTopic counts the records read from the store.
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

// replicaTransport serves requests from peers' replicas; a peer without one never replies.
type replicaTransport map[string]*Replica

func (t replicaTransport) Fetch(ctx context.Context, address string, req Request, progress func()) (Reply, error) {
	replica, ok := t[address]
	if !ok {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	progress()
	return replica.Handle(ctx, req), nil
}

// newFourthNode returns the topic of the node ranked fourth in a data centre.
func newFourthNode(store keyedlog.Topic, replicas replicaTransport) *Topic {
	peers := make([]Peer, 5)
	for i := range peers {
		name := fmt.Sprintf("n%d", i)
		peers[i] = Peer{Node: name, Address: name, Capacity: 100}
	}
	known := make(chan struct{})
	close(known)
	return &Topic{PeersKnown: known, Topic: store, Name: "config", Self: "n3", Peers: func() []Peer { return peers }, Transport: replicas, Replica: NewReplica(synctestClock{}), Clock: synctestClock{},
		Events: event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), "n3", 64, log.NewNopLogger())}
}

// newUnreachableStore returns a store whose calls time out.
func newUnreachableStore() *memtopic.Topic {
	store := memtopic.New()
	store.Err = context.DeadlineExceeded
	return store
}

func appendRecord(t *testing.T, store keyedlog.Topic, value string) {
	t.Helper()
	if err := store.Append(t.Context(), keyedlog.Fence{}, keyedlog.Record{Key: "config", Value: []byte(value)}); err != nil {
		t.Fatal(err)
	}
}

// A node that reads from the store what a peer holds transfers a second copy over the link.
func TestReadsFromPeerOnly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		first := NewReplica(synctestClock{})
		n := newFourthNode(store, replicaTransport{"n0": first})
		appendRecord(t, store, "1")
		first.Reset([]keyedlog.Record{record("config", 0)}, 1)
		_, next, err := n.Newest(t.Context(), func() {})
		is.NoErr(err)
		is.Equal(next, int64(1))
		appendRecord(t, store, "2")
		first.Extend(1, []keyedlog.Record{record("config", 1)}, 2)
		records, next, err := n.Read(t.Context(), next, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(next, int64(2))
		is.Equal(store.read.Load(), int64(0))
	})
}

// All nodes start while the link to the store is saturated, and the query for the end of the log
// fails. A node that waits for it has no configuration for seconds.
func TestStartsFromPeerWithoutStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newUnreachableStore()
		first := NewReplica(synctestClock{})
		first.Reset([]keyedlog.Record{record("config", 4)}, 5)
		n := newFourthNode(store, replicaTransport{"n0": first})
		records, next, err := n.Newest(t.Context(), func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		_, _, err = n.Read(t.Context(), next, time.Second, func() {})
		is.Equal(err, context.DeadlineExceeded) // it does not count as up to date
		_, _, err = n.Newest(t.Context(), func() {})
		is.Equal(err, context.DeadlineExceeded)
	})
}

// A node is partitioned from the store, or its link is saturated, while its peers learn of a
// change. It must not stay behind them.
func TestFetchesUpdatesFromPeersWithoutStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newUnreachableStore()
		second := NewReplica(synctestClock{})
		second.Reset([]keyedlog.Record{record("config", 4)}, 5)
		n := newFourthNode(store, replicaTransport{"n1": second})
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

// Peers that do not respond, or that are partitioned from the store without knowing it, must not
// keep a node behind.
func TestReadsStoreWhenPeersAreBehind(t *testing.T) {
	for name, replicas := range map[string]replicaTransport{"unresponsive": {}, "behind": {"n0": NewReplica(synctestClock{}), "n1": NewReplica(synctestClock{})}} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &countingTopic{Topic: memtopic.New()}
				appendRecord(t, store, "1")
				for _, replica := range replicas {
					replica.Reset(nil, 0)
				}
				n := newFourthNode(store, replicas)
				begun := time.Now()
				records, _, err := n.Read(t.Context(), 0, time.Second, func() {})
				is.NoErr(err)
				is.Equal(string(records[0].Value), "1")
				is.True(time.Since(begun) <= silentPeersTimeout+sourceCount*peerTimeout)
			})
		})
	}
}

// Guards against staying seconds behind peers that aren't up to date themselves: on a saturated link
// the store's records arrive too late, and a node whose cut had ended used an old configuration.
func TestTakesNewerRecordsOfPeersThatAreBehind(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		for _, value := range []string{"1", "2", "3"} {
			appendRecord(t, store, value)
		}
		behind := NewReplica(synctestClock{})
		behind.Reset([]keyedlog.Record{record("config", 0)}, 1)
		behind.Extend(1, []keyedlog.Record{record("config", 1)}, 2)
		n := newFourthNode(store, replicaTransport{"n0": behind})
		n.Replica.Reset([]keyedlog.Record{record("config", 0)}, 1)
		records, next, err := n.Read(t.Context(), 1, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(next, int64(2))
		is.Equal(store.read.Load(), int64(0))
		begun := time.Now()
		records, _, err = n.Read(t.Context(), next, time.Second, func() {})
		is.NoErr(err)
		is.Equal(string(records[0].Value), "3") // and doesn't wait for them again
		is.Equal(time.Since(begun), time.Duration(0))
	})
}

// A peer takes long to receive a large configuration itself. Nodes that read the store meanwhile
// delay it and themselves.
func TestWaitsForPeerThatIsReceiving(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		appendRecord(t, store, "1")
		first := NewReplica(synctestClock{})
		first.Reset(nil, 0)
		go func() {
			records, next, _ := first.trackRead(false, func() {}, func(progress func()) ([]keyedlog.Record, int64, error) {
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					progress()
				}
				return []keyedlog.Record{record("config", 0)}, 1, nil
			})
			first.Extend(0, records, next)
		}()
		n := newFourthNode(store, replicaTransport{"n0": first, "n1": NewReplica(synctestClock{})})
		records, _, err := n.Read(t.Context(), 0, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(store.read.Load(), int64(0))
	})
}

// A peer's read stalls. It must not be waited for longer than one that never started.
func TestReadsStoreWhenPeerStalls(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		appendRecord(t, store, "1")
		first := NewReplica(synctestClock{})
		first.Reset(nil, 0)
		stalled, end := context.WithTimeout(t.Context(), 10*time.Second)
		defer end()
		go func() {
			_, _, _ = first.trackRead(false, func() {}, func(progress func()) ([]keyedlog.Record, int64, error) {
				progress()
				<-stalled.Done()
				return nil, 0, stalled.Err()
			}) // the read fails on purpose
		}()
		n := newFourthNode(store, replicaTransport{"n0": first})
		begun := time.Now()
		_, _, err := n.Read(t.Context(), 0, time.Second, func() {})
		is.NoErr(err)
		is.True(time.Since(begun) <= progressTimeout+silentPeersTimeout+sourceCount*peerTimeout)
	})
}

// The end that the store reports is seconds old. A node that asked peers for less than it has
// would repeat that forever, and one that waited at the old end would receive nothing.
func TestStaleEndIsReadFromStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memtopic.New()
		appendRecord(t, store, "1")
		appendRecord(t, store, "2")
		ahead := NewReplica(synctestClock{})
		ahead.Reset(nil, 9)
		n := newFourthNode(staleEndTopic{store, 0}, replicaTransport{"n0": ahead, "n1": ahead})
		records, next, err := n.Read(t.Context(), 1, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(next, int64(2))
	})
}

// staleEndTopic is a topic that reports a stale end.
type staleEndTopic struct {
	*memtopic.Topic
	end int64
}

func (s staleEndTopic) End(context.Context) (int64, error) { return s.end, nil }

// Nodes with the largest capacity serve the others; a small data centre needs no sources.
func TestRanksByCapacity(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{Node: "a", Capacity: 48}, {Node: "b", Capacity: 200}, {Node: "c", Capacity: 48}, {Node: "d", Capacity: 200}}
	rank, sources := rankNode("c", peers)
	is.Equal(rank, 3)
	is.Equal([]string{sources[0].Node, sources[1].Node}, []string{"b", "d"})
	rank, sources = rankNode("d", peers)
	is.Equal(rank, 1)
	is.Equal(len(sources), 1)
	rank, _ = rankNode("b", peers)
	is.Equal(rank, 0)
	rank, _ = rankNode("c", peers[:3])
	is.Equal(rank, 0)
	rank, _ = rankNode("unlisted", peers)
	is.Equal(rank, 0)
}

// A configuration contains callers' keys: only nodes of the fleet may get it.
func TestHandlerServesOnlyNodes(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(synctestClock{})
	replica.Reset([]keyedlog.Record{record("config", 0)}, 1)
	isNode := true
	server := httptest.NewServer(Handler(map[string]*Replica{"config": replica}, func(string) bool { return isNode }))
	defer server.Close()
	client := &Client{HTTP: httpwire.NewClient(httpwire.Options{Clock: bootclock.System{}, DialTimeout: time.Second})}
	address := server.Listener.Addr().String()
	reply, err := client.Fetch(t.Context(), address, Request{Topic: "config", From: -1, End: 1}, func() {})
	is.NoErr(err)
	is.Equal(reply, Reply{Records: []keyedlog.Record{record("config", 0)}, Next: 1})
	_, err = client.Fetch(t.Context(), address, Request{Topic: "spend", From: -1}, func() {})
	is.True(err != nil)
	isNode = false
	_, err = client.Fetch(t.Context(), address, Request{Topic: "config", From: -1, End: 1}, func() {})
	is.True(err != nil)
	resp, err := http.Get(server.URL + Path)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusMethodNotAllowed)
	_ = resp.Body.Close()
}
