package atmostonce

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

// errLost is a connection that broke: its caller knows nothing of the call.
var errLost = errors.New("the connection was lost")

// node is one incarnation with its runner.
type node struct {
	world  *world
	name   string
	runner *idempotency.Runner
	ctx    context.Context
	kill   context.CancelFunc
}

func newNode(w *world, name string) *node {
	clock := clockwork.NewRealClock()
	events := event.NewRecorder(event.NewHLC(clock), name, 1, log.NewNopLogger())
	writer := recordlog.NewWriter(w.log, "fleet", name, clock, events.Clock(), w.options.Gather)
	claims := idempotency.NewClaims(idempotency.DefaultLimits())
	follower := recordlog.NewFollower(w.log, "fleet", clock, fold.NewEngine(claims), func(_ uint64, b *recordv1.Batch, v []fold.Verdict) {
		writer.HandleFolded(b, v)
	})
	n := &node{world: w, name: name}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.runner = idempotency.NewRunner(idempotency.Options{
		Incarnation: name, Claims: claims, Log: writer, IsOpen: w.isOpen, Clock: clock, Events: events,
	})
	w.loops.Go(func() { writer.Run(n.ctx) })
	w.loops.Go(func() { follower.Run(n.ctx) })
	return n
}

// attend runs what a node does for a request; a killed node answers nothing.
func (n *node) attend(do func() (idempotency.Response, error)) (idempotency.Response, error) {
	type outcome struct {
		answer idempotency.Response
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := do()
		done <- outcome{answer, err}
	}()
	select {
	case o := <-done:
		if n.ctx.Err() == nil {
			return o.answer, o.err
		}
	case <-n.ctx.Done():
	}
	time.Sleep(time.Millisecond) // how soon a caller sees that the connection broke
	return idempotency.Response{}, errLost
}

// run calls the service, unless the node is dead.
func (n *node) run(name string) idempotency.RunFunc {
	return func(context.Context) (idempotency.Response, error) {
		if n.ctx.Err() != nil {
			return idempotency.Response{}, result.New(result.NoUpstream, "a dead node sends nothing")
		}
		return n.world.service.call(name)
	}
}

func (n *node) byKey(name string) (idempotency.Response, error) {
	call := idempotency.Call{ID: idempotency.ID{Account: "account", Key: name}}
	return n.runner.Do(context.Background(), call, n.run(name), func(ctx context.Context, owner string) (idempotency.Response, error) {
		peer := n.world.node(owner)
		answer, err := peer.attend(func() (idempotency.Response, error) { return peer.runner.Do(ctx, call, peer.run(name), nil) })
		return n.world.forwarded(owner, answer, err)
	})
}
