package request

import (
	"context"
	"testing"

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
