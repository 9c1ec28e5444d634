package gateway

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bodybuffer"
	"lavenderpin.dev/lavenderpin/directory"
)

// endlessBody has no end; it stops with the request.
type endlessBody struct{ ctx context.Context }

func (b endlessBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// blockedSink is a caller that reads nothing until the request ends.
type blockedSink struct {
	*recordingSink
	ctx     context.Context
	blocked chan<- struct{}
}

func (s *blockedSink) Write([]byte) error {
	s.blocked <- struct{}{}
	<-s.ctx.Done()
	return s.ctx.Err()
}

// Guards against memory that fills with the answers of many requests at upstreams that send bytes without end, and against short answers
// that suffer from it.
func TestEndlessAnswersShareMemory(t *testing.T) {
	is := is.New(t)
	const size, long = 100 << 10, 10
	tg := newTestGateway(1_000_000, func(ctx context.Context, _ *directory.Upstream, d *Dispatch) (*Response, error) {
		if string(d.Body) == "short" {
			return newResponse(200, true, strings.NewReader("all")), nil
		}
		return newResponse(200, true, endlessBody{ctx}), nil
	})
	tg.Bodies = bodybuffer.NewPool(size)
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	blocked := make(chan struct{}, long)
	for range long {
		open.Go(func() { tg.Serve(ctx, tg.request("file"), &blockedSink{&recordingSink{}, ctx, blocked}) })
	}
	for range long { // all hold what they could get
		<-blocked
	}
	is.True(tg.Bodies.Left() < 2*bodybuffer.FreeBytes) // one of them wanted no more than that
	r, sink := tg.request("file"), &recordingSink{}
	r.Body = []byte("short")
	tg.Serve(context.Background(), r, sink)
	is.Equal(sink.body.String(), "all")
	cancel()
	open.Wait()
	is.Equal(tg.Bodies.Left(), int64(size)) // all is given back
}

// Guards against losing answers that are longer than the memory that is left: a sound one is passed on as it comes, and a failure, which
// may be passed on only whole, isn't.
func TestAnswersWithoutMemoryLeft(t *testing.T) {
	answer := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		status int
		signed bool
		whole  bool
	}{"answer": {200, true, true}, "redirection": {302, true, true}, "failure": {500, true, false}, "unsigned": {200, false, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(1_000_000, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
				resp := newResponse(c.status, false, strings.NewReader(answer))
				resp.Signed, resp.Length = c.signed, int64(len(answer))
				return resp, nil
			})
			tg.Bodies = bodybuffer.NewPool(8 << 10)
			sink := tg.serve(context.Background(), "file")
			is.Equal(sink.body.String() == answer, c.whole)
			is.Equal(sink.body.Len() == 0, !c.whole)
			is.Equal(sink.refusal == nil, c.whole)
			is.Equal(tg.Bodies.Left(), int64(8<<10))
		})
	}
}
