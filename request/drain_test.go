package request

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

// fullQueue is an admission that lets no request run.
type fullQueue struct{ waiting chan struct{} }

func (q fullQueue) Admit(ctx context.Context, _ routing.Request) (func(), error) {
	q.waiting <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against telling the caller of a request that was still queued when the node ended that
// it may have run.
func TestQueuedRequestEndsWithTheNodeAsNotRun(t *testing.T) {
	is := is.New(t)
	s, _ := newPlainFixture(t, 1)
	n := s.newServer("a")
	queue := fullQueue{make(chan struct{})}
	n.Admission = queue
	ended := make(chan error)
	go func() {
		_, err := n.Call(context.Background(), order("POST", "order"))
		ended <- err
	}()
	<-queue.waiting
	n.End()
	err := <-ended
	is.Equal(result.CodeOf(err), result.Draining)
	is.True(result.From(err).NotRun())
	_, err = n.Call(context.Background(), order("POST", "order"))
	is.Equal(result.CodeOf(err), result.Draining) // not queued
}

// Guards against calls that may not be repeated and that the node's end may cut, since calls of their kind are usually quick or nothing
// is known of them.
func TestOrdersThatMayOutlastNodeAreRefused(t *testing.T) {
	is := is.New(t)
	s, _ := newPlainFixture(t, 1)
	n := s.newServer("a")
	const left = time.Minute
	call := func(method string, limit time.Duration) error {
		ctx := t.Context()
		if limit > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, n.Clock.Now().Add(limit))
			defer cancel()
		}
		_, err := n.Call(ctx, order(method, "order"))
		return err
	}
	now := n.Clock.Now()
	n.Drain(now.Add(left/2), now.Add(left))
	is.Equal(result.CodeOf(call("POST", 0)), result.Draining)      // nothing is known
	is.Equal(result.CodeOf(call("POST", 2*left)), result.Draining) // may be cut
	is.True(result.From(call("POST", 2*left)).NotRun())
	is.NoErr(call("POST", left/2)) // certainly ends in time
	is.NoErr(call("GET", 2*left))  // may be repeated
}

// Guards against running a completion again for a caller that was told that it did not run.
func TestCompletionCutByTheNodeIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{HangAfter: 3})
	n := s.newServer("a")
	body, _ := prompt(10)
	sink := &testSink{stream: true}
	sink.atChunk = func(i int) error {
		if i == 2 {
			n.End()
		}
		return nil
	}
	err := n.Chat(context.Background(), chatCall(body), sink)
	is.Equal(result.CodeOf(err), result.Draining)
	is.True(!result.From(err).NotRun())
	is.Equal(n.billedTokens(t), uint64(0))
	is.Equal(n.InFlight(), int64(0))
}
