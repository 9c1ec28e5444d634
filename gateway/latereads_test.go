package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against sending a request whose time passed while a node short of processor time left it unread.
func TestRequestReadTooLateIsNotRun(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return newResponse(200, false, strings.NewReader("ok")), nil
	})
	serve := func(unread time.Duration) *recordingSink {
		r, sink := tg.request("read"), &recordingSink{}
		r.Unread = unread
		r.Arrived -= unread
		tg.Serve(context.Background(), r, sink)
		return sink
	}
	late := serve(4 * time.Second) // the caller's limit
	is.Equal(late.refusal.Code, result.ReadLate)
	is.True(late.refusal.NotRun())
	is.Equal(len(tg.upstreams.sent), 0)
	is.Equal(serve(2*time.Second).status, 200) // half of its time is left
	is.Equal(len(tg.upstreams.sent), 1)
}

// Guards against a log that grows with the requests that a busy node reads late.
func TestLateReadsAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(100, nil)
	lines := func() (lines []event.Event) {
		recorded, _ := tg.Events.After(0, 64)
		for _, e := range recorded {
			if e.Number == event.RequestsReadLate {
				lines = append(lines, e)
			}
		}
		return lines
	}
	tg.recordUnread(lateRead - time.Millisecond)
	is.Equal(len(lines()), 0)
	for range 5 {
		tg.recordUnread(lateRead)
	}
	is.Equal(len(lines()), 1)
	tg.clock.Advance(lateReadsInterval)
	tg.recordUnread(2 * lateRead)
	is.Equal(len(lines()), 2)
	is.Equal(lines()[1].Fields["requests"], "5") // four that were not logged, and this one
	is.Equal(lines()[1].Fields["longest_ms"], "200")
	is.Equal(tg.Metrics.unread.Get("le_128").String(), "6") // 99 and 100 ms
	is.Equal(tg.Metrics.unread.Get("le_256").String(), "1")
}
