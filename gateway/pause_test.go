package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
)

// refuseWithPause responds as an upstream that is full and wants no requests for a while.
func refuseWithPause(pause time.Duration) *Response {
	resp := newResponse(503, false, strings.NewReader(""))
	resp.NotRun, resp.Pause = true, pause
	return resp
}

// eventsOf returns the recorded events of a kind.
func (tg *testGateway) eventsOf(number event.Number) []event.Event {
	all, _ := tg.Events.Find("")
	var found []event.Event
	for _, e := range all {
		if e.Number == number {
			found = append(found, e)
		}
	}
	return found
}

// Guards against log lines that don't tell whether a refusing upstream asked for a pause.
func TestRejectedAnswerIsLoggedWithItsPause(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(0, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return refuseWithPause(1500 * time.Millisecond), nil
	})
	tg.serve(context.Background(), "file")
	rejected := tg.eventsOf(event.AnswerRejected)
	is.Equal(len(rejected), 1)
	is.Equal(rejected[0].Fields["pause_ms"], "1500")
}
