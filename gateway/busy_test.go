package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against a node short of processor time that takes on all requests, answers each late and none in time, and
// against one that refuses while it has time, or what no route knows.
func TestBusyNodeRefusesBeforeItReads(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(100, nil)
	lag := time.Duration(0)
	refused := func(host, path string, lagNow time.Duration) (n int) {
		lag = lagNow
		for range 1000 {
			sink := &recordingSink{}
			if tg.RefuseBusy("id", host, path, sink) {
				is.Equal(sink.refusal.Code, result.NodeBusy)
				is.True(sink.refusal.NotRun())
				n++
			}
		}
		return n
	}
	is.Equal(refused("h", "/read/", time.Second), 0) // not measured
	tg.Lag = func() time.Duration { return lag }
	const objective = 100 * time.Millisecond // of the route
	is.Equal(refused("h", "/read/", 0), 0)
	is.Equal(refused("h", "/read/", objective/2/queuedelay.ProcessorWaits), 0)
	some := refused("h", "/read/", objective/queuedelay.ProcessorWaits)
	is.True(some > 800 && some < 950) // seven in eight
	is.True(refused("h", "/read/", 10*objective) > 990)
	is.Equal(refused("h", "/unknown/", 10*objective), 0)
	is.Equal(len(tg.upstreams.sent), 0)
}
