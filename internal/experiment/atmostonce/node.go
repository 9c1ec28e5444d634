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

// errConnectionLost is returned when a connection breaks: the caller can't know whether the
// call ran.
var errConnectionLost = errors.New("connection lost")

// node is one incarnation of a node with its runner.
type node struct {
	fleet  *fleet
	name   string
	runner *idempotency.Runner
	ctx    context.Context
	cancel context.CancelFunc
}

func newNode(f *fleet, name string) *node {
	clock := clockwork.NewRealClock()
	events := event.NewRecorder(event.NewHLC(clock), name, 1, log.NewNopLogger())
	writer := recordlog.NewWriter(f.log, "fleet", name, clock, events.Clock(), f.options.Gather)
	claims := idempotency.NewClaims(idempotency.DefaultLimits())
	follower := recordlog.NewFollower(f.log, "fleet", clock, fold.NewEngine(claims), func(_ uint64, b *recordv1.Batch, v []fold.Verdict) {
		writer.HandleFolded(b, v)
	})
	n := &node{fleet: f, name: name}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.runner = idempotency.NewRunner(idempotency.Options{
		Incarnation: name, Claims: claims, Log: writer, IsOpen: f.isOpen, Clock: clock, Events: events,
	})
	f.wg.Go(func() { writer.Run(n.ctx) })
	f.wg.Go(func() { follower.Run(n.ctx) })
	return n
}

// serve runs the handler of a request on a node. If the node is killed, the caller gets
// errConnectionLost.
func (n *node) serve(handler func() (idempotency.Response, error)) (idempotency.Response, error) {
	type outcome struct {
		answer idempotency.Response
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := handler()
		done <- outcome{answer, err}
	}()
	select {
	case o := <-done:
		if n.ctx.Err() == nil {
			return o.answer, o.err
		}
	case <-n.ctx.Done():
	}
	time.Sleep(time.Millisecond) // the time until a caller detects the broken connection
	return idempotency.Response{}, errConnectionLost
}

// runFunc returns a function that calls the service, unless the node is dead.
func (n *node) runFunc(name string) idempotency.RunFunc {
	return func(context.Context) (idempotency.Response, error) {
		if n.ctx.Err() != nil {
			return idempotency.Response{}, result.New(result.NoUpstream, "a dead node sends nothing")
		}
		return n.fleet.service.call(name)
	}
}

func (n *node) runWithKey(name string) (idempotency.Response, error) {
	call := idempotency.Call{ID: idempotency.ID{Account: "account", Key: name}}
	return n.runner.Do(context.Background(), call, n.runFunc(name), func(ctx context.Context, owner string) (idempotency.Response, error) {
		peer := n.fleet.node(owner)
		answer, err := peer.serve(func() (idempotency.Response, error) { return peer.runner.Do(ctx, call, peer.runFunc(name), nil) })
		return n.fleet.forwardedResult(owner, answer, err)
	})
}
