package idempotency

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

// testFleet is a set of runners that share one log. It must run in a synctest bubble.
type testFleet struct {
	log     *standin.Log
	service *testService

	mu sync.Mutex
	// nodes maps incarnations to nodes, and slots maps slots to their current incarnation.
	nodes  map[string]*testNode
	slots  map[string]string
	closed map[string]bool
	// tickets maps the keys of calls that use a ticket to the ticket.
	tickets map[string]*fleetv1.CallTicket
	// replaced counts the incarnations that replaced another one.
	replaced int
}

type testNode struct {
	fleet  *testFleet
	name   string
	slot   string
	claims *Claims
	runner *Runner
	ctx    context.Context
	kill   context.CancelFunc
}

func newTestFleet(names ...string) *testFleet {
	f := &testFleet{log: standin.NewLog(), service: &testService{runs: map[string]int{}},
		nodes: map[string]*testNode{}, slots: map[string]string{}, closed: map[string]bool{},
		tickets: map[string]*fleetv1.CallTicket{}}
	for _, name := range names {
		f.start(name, name)
	}
	return f
}

func (f *testFleet) start(name, slot string) {
	clock := clockwork.NewRealClock()
	events := event.NewRecorder(event.NewHLC(clock), name, 100, log.NewNopLogger())
	writer := recordlog.NewWriter(f.log, "fleet", name, clock, events.Clock(), time.Millisecond)
	claims := NewClaims(DefaultLimits())
	follower := recordlog.NewFollower(f.log, "fleet", clock, fold.NewEngine(claims), func(_ uint64, b *batch, v []fold.Verdict) { writer.HandleFolded(b, v) })
	n := &testNode{fleet: f, name: name, slot: slot, claims: claims}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.runner = NewRunner(Options{Incarnation: name, Claims: claims, Log: writer, IsOpen: f.isOpen, Clock: clock, Events: events})
	go writer.Run(n.ctx)
	go follower.Run(n.ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = n
	f.slots[slot] = name
}

func (f *testFleet) stop() {
	for _, n := range f.nodes {
		n.kill()
		n.runner.Stop()
	}
	time.Sleep(2 * claimTimeout) // calls finish, and callers that wait for a claim time out
}

func (f *testFleet) isOpen(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.closed[name]
}

// close marks an incarnation as closed for the whole fleet, as the fold does.
func (f *testFleet) close(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[name] = true
}

// node returns the current node of a slot, or the node of an incarnation.
func (f *testFleet) node(name string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation := f.slots[name]; incarnation != "" {
		return f.nodes[incarnation]
	}
	return f.nodes[name]
}

// call sends a call with a key to a node. A killed node doesn't respond.
func (n *testNode) call(ctx context.Context, key string) (Response, error) {
	c := Call{ID: ID{"account", key}, Digest: Digest{1}}
	return n.respond(ctx, func(ctx context.Context) (Response, error) {
		return n.runner.Do(ctx, c, n.run(key), func(ctx context.Context, owner string) (Response, error) {
			peer := n.fleet.node(owner)
			return peer.respond(ctx, func(ctx context.Context) (Response, error) {
				return peer.runner.Do(ctx, c, peer.run(key), nil)
			})
		})
	})
}

// respond handles a request on the node, or fails if the node is killed.
func (n *testNode) respond(ctx context.Context, handle func(context.Context) (Response, error)) (Response, error) {
	type outcome struct {
		response Response
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		response, err := handle(ctx)
		done <- outcome{response, err}
	}()
	select {
	case o := <-done:
		return o.response, o.err
	case <-n.ctx.Done():
		return Response{}, result.New(result.PeerUnreachable, "node %s is dead", n.name)
	}
}

func (n *testNode) run(key string) RunFunc {
	return func(context.Context) (Response, error) {
		if n.ctx.Err() != nil {
			return Response{}, result.New(result.PeerUnreachable, "a dead node sends nothing")
		}
		return n.fleet.service.call(key)
	}
}

// testService counts the runs of each key.
type testService struct {
	mu    sync.Mutex
	runs  map[string]int
	delay time.Duration
	// before is called ahead of each run and may refuse it; after may drop its response.
	before func(key string) error
	after  func(key string) error
}

func (s *testService) call(key string) (Response, error) {
	if s.before != nil {
		if err := s.before(key); err != nil {
			return Response{}, err
		}
	}
	s.mu.Lock()
	s.runs[key]++
	run := s.runs[key]
	s.mu.Unlock()
	time.Sleep(s.delay)
	if s.after != nil {
		if err := s.after(key); err != nil {
			return Response{}, err
		}
	}
	return Response{Status: 200, Body: fmt.Appendf(nil, "%s run %d", key, run)}, nil
}

func (s *testService) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}
