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

// testFleet is some runners over one log. It must run within a synctest bubble.
type testFleet struct {
	log     *standin.Log
	service *testService

	mu sync.Mutex
	// nodes by incarnation; slots tells which one stands at a place now.
	nodes  map[string]*testNode
	slots  map[string]string
	closed map[string]bool
	// tickets of calls whose callers use one, by the call's key.
	tickets map[string]*fleetv1.CallTicket
	// replaced counts the incarnations that took another's place.
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
	time.Sleep(2 * claimWait) // calls end, and callers that wait for a claim leave
}

func (f *testFleet) isOpen(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.closed[name]
}

// close makes the fleet hold an incarnation for ended, as the fold does.
func (f *testFleet) close(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[name] = true
}

// node returns the node of an incarnation, or the one that stands at a place now.
func (f *testFleet) node(name string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation := f.slots[name]; incarnation != "" {
		return f.nodes[incarnation]
	}
	return f.nodes[name]
}

// call sends a call with a key to a node. A node that is killed answers nothing.
func (n *testNode) call(ctx context.Context, key string) (Response, error) {
	named := Call{ID: ID{"account", key}, Digest: Digest{1}}
	return n.answer(ctx, func(ctx context.Context) (Response, error) {
		return n.runner.Do(ctx, named, n.run(key), func(ctx context.Context, owner string) (Response, error) {
			peer := n.fleet.node(owner)
			return peer.answer(ctx, func(ctx context.Context) (Response, error) {
				return peer.runner.Do(ctx, named, peer.run(key), nil)
			})
		})
	})
}

// answer runs what a node does for a request, unless the node is killed.
func (n *testNode) answer(ctx context.Context, do func(context.Context) (Response, error)) (Response, error) {
	type outcome struct {
		answer Response
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := do(ctx)
		done <- outcome{answer, err}
	}()
	select {
	case o := <-done:
		return o.answer, o.err
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
	// before may refuse a run or be told of it; after may lose its answer.
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
