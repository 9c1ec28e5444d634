package edgenode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gateway"
	"lavenderpin.dev/lavenderpin/internal/memtopic"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/presence"
	"lavenderpin.dev/lavenderpin/repeats"
	"lavenderpin.dev/lavenderpin/result"
)

// bubbleClock is a boot clock in a test's own time.
type bubbleClock struct{}

func (bubbleClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// silence is a store that answers nothing of what reaches it before a moment.
type silence struct{ until atomic.Int64 }

func (s *silence) begin(d time.Duration) { s.until.Store(time.Now().Add(d).UnixNano()) }

// pass waits for ctx if the store is silent now.
func (s *silence) pass(ctx context.Context) error {
	if time.Now().UnixNano() >= s.until.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// quietable is a topic of a store that may be silent.
type quietable struct {
	*memtopic.Topic
	silence *silence
	reads   atomic.Int64
}

func (q *quietable) Newest(ctx context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	if err := q.silence.pass(ctx); err != nil {
		return nil, 0, err
	}
	return q.Topic.Newest(ctx, progress)
}

func (q *quietable) Probe(ctx context.Context) error { return q.silence.pass(ctx) }

func (q *quietable) Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]keyedlog.Record, int64, error) {
	q.reads.Add(1)
	if err := q.silence.pass(ctx); err != nil {
		return nil, 0, err
	}
	return q.Topic.Read(ctx, from, wait, progress)
}

func (q *quietable) Append(ctx context.Context, fence keyedlog.Fence, records ...keyedlog.Record) error {
	if err := q.silence.pass(ctx); err != nil {
		return err
	}
	return q.Topic.Append(ctx, fence, records...)
}

// bubble is a fleet in a test's own time, over topics in memory.
type bubble struct {
	t       *testing.T
	topics  Topics
	silence silence

	mu sync.Mutex
	// dark holds the nodes that answer no other node.
	dark  map[string]bool
	nodes []*Node
}

// reachable returns the node at an address, or nil if it answers no other node.
func (b *bubble) reachable(address string) *Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		if n.settings.Peer == address && !b.dark[address] {
			return n
		}
	}
	return nil
}

// Fetch asks a node of the bubble for records.
func (b *bubble) Fetch(ctx context.Context, address string, ask peerfetch.Request, progress func()) (peerfetch.Reply, error) {
	if n := b.reachable(address); n != nil {
		progress()
		return n.copies[ask.Topic].Handle(ctx, ask), nil
	}
	<-ctx.Done()
	return peerfetch.Reply{}, ctx.Err()
}

const host, apiKey = "host", "key"

func newBubble(t *testing.T) *bubble {
	b := &bubble{t: t}
	topic := func() keyedlog.Topic { return &quietable{Topic: memtopic.New(), silence: &b.silence} }
	b.topics = Topics{Operators: topic(), Upstreams: topic(), Presence: topic(), Spend: topic(), Ledger: topic(), Grants: topic()}
	b.put(b.topics.Operators, "config", "1")
	return b
}

func (b *bubble) put(topic keyedlog.Topic, key, value string) {
	err := topic.Append(context.Background(), keyedlog.Fence{Producer: "test"}, keyedlog.Record{Key: key, Value: []byte(value)})
	if err != nil {
		b.t.Fatal(err)
	}
}

// lostIncarnation leaves what a node that has lost power left in the store.
func (b *bubble) lostIncarnation(node string, s site) {
	record, err := json.Marshal(presence.Record{Node: node, Incarnation: "lost", Region: s.region, DataCentre: s.dataCentre, Address: node, PeerAddress: node, Capacity: s.capacity, StoreWriteMs: 4, Ready: true})
	if err != nil {
		b.t.Fatal(err)
	}
	b.put(b.topics.Presence, node, string(record))
	now := time.Now().UnixMilli()
	report, err := json.Marshal(prepaid.Report{Node: node, Incarnation: "lost", Region: s.region, Capacity: s.capacity, SentTimeMs: now, StartBootMs: now, StartTimeMs: now, LimitTTLMs: 10_000, BootID: "earlier"})
	if err != nil {
		b.t.Fatal(err)
	}
	b.put(b.topics.Spend, node+"/lost", string(report))
}

func view(string, []byte) (*catalog.View, bool, error) {
	route := func(path, service string) *catalog.Route {
		return &catalog.Route{Name: path, Host: host, PathPrefix: path, Kind: catalog.Idempotent, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 1,
			Split: []catalog.WeightedService{{Service: service, Weight: 1}}}
	}
	return catalog.NewView(1, catalog.Limits{}, []*catalog.Route{route("/plain/", "app"), route("/prompt/", "llm")},
		[]*catalog.Service{{Name: "app"}, {Name: "llm", Engine: &catalog.Engine{Slots: 8, TokensPerEvent: 6}}},
		[]*catalog.Account{{Name: "one", Prepaid: 10_000_000, HasPrepaid: true}}, map[string]string{apiKey: "one"}), true, nil
}

// leaves is what an upstream that drains writes.
const leaves = "leaves"

func decodeEntry(id string, raw []byte) (directory.Entry, error) {
	if string(raw) == leaves {
		return directory.Entry{ID: id, Service: "llm", Address: id, DataCentre: "dc", Slots: 8, State: directory.Draining}, nil
	}
	return directory.Entry{ID: id, Service: string(raw), Address: id, DataCentre: "dc", Slots: 8, State: directory.Ready}, nil
}

// answering answers each request at once.
type answering struct{}

func (answering) Send(context.Context, *directory.Upstream, *gateway.Dispatch) (*gateway.Response, error) {
	return &gateway.Response{Status: http.StatusOK, Header: http.Header{}, Length: 2, Signed: true, Body: strings.NewReader("ok"), Close: func() {}}, nil
}

// noLender reaches no other node.
type noLender struct{}

func (noLender) Call(context.Context, string, lending.Request) (lending.Reply, error) {
	return lending.Reply{}, context.DeadlineExceeded
}

func (b *bubble) start(name string) *Node {
	return b.startAt(b.usualSite(), name, view)
}

// usualSite is beside the store.
func (b *bubble) usualSite() site {
	return site{dataCentre: "dc", region: "region", capacity: 100, topics: b.topics}
}

// site is where a node of a bubble stands and how it reaches the store.
type site struct {
	dataCentre, region string
	capacity           int
	topics             Topics
}

// configDecoder reads a configuration.
type configDecoder func(key string, raw []byte) (*catalog.View, bool, error)

func (b *bubble) startAt(s site, name string, decode configDecoder) *Node {
	clocks := prepaid.Clocks{Boot: bubbleClock{}, Wall: clockwork.NewRealClock()}
	n, err := Start(context.Background(), Settings{Node: name, Incarnation: "new-" + name, Start: prepaid.ProcessStart{ClockReading: clocks.Read(), BootID: "boot-" + name},
		Address: name, Peer: name, Capacity: s.capacity, DataCentre: s.dataCentre, Region: s.region, Regions: map[string]string{s.dataCentre: s.region},
		Repeats: repeats.Limits{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}},
		Deps{Clock: bubbleClock{}, WallClock: clocks.Wall, Topics: s.topics, Upstreams: answering{}, Lending: noLender{}, Peers: b,
			Events:  event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), name, 64, log.NewNopLogger()),
			Metrics: gateway.NewMetrics(false), DecodeConfig: decode, DecodeUpstream: decodeEntry})
	if err != nil {
		b.t.Fatal(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, n)
	return n
}

func (b *bubble) stop() {
	for _, n := range b.nodes {
		n.Stop(context.Background())
	}
}

// comeBack starts a fleet whose earlier incarnations have lost power.
func (b *bubble) comeBack(size int) {
	for i := range size {
		b.lostIncarnation(fmt.Sprintf("n%02d", i), b.usualSite())
	}
	for i := range size {
		b.start(fmt.Sprintf("n%02d", i))
	}
}

// granted returns how many nodes hold a grant.
func (b *bubble) granted() int {
	granted := 0
	for _, n := range b.nodes {
		if n.share.Granted() {
			granted++
		}
	}
	return granted
}

// discard is a caller's sink that keeps the status.
type discard struct{ status int }

func (d *discard) Refuse(*result.Error)                     { d.status = http.StatusTooManyRequests }
func (d *discard) Start(status int, _ http.Header, _ int64) { d.status = status }
func (d *discard) Write([]byte) error                       { return nil }
func (d *discard) Flush() error                             { return nil }
func (d *discard) Abort()                                   {}

func (b *bubble) ask(n *Node, path string) int {
	r := &gateway.Request{ID: "id", Method: http.MethodGet, Target: path, Path: path, Host: host, Key: apiKey, TimeLeft: 5 * time.Second, Arrived: bubbleClock{}.Now()}
	if path == "/prompt/" {
		r.PromptTokens, r.MaxOutput = 1000, 100
	}
	d := &discard{}
	n.Gateway().Serve(context.Background(), r, d)
	return d.status
}
