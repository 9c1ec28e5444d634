package recovery

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/upstream"
)

type fakeEngine struct {
	plain, down, cancelFails bool
	state                    upstream.UsageState
	tokens                   uint64
	cancelled                bool
}

func (e *fakeEngine) ReportsUsage(string) bool { return !e.plain }

func (e *fakeEngine) Reachable(string) bool { return true }

func (e *fakeEngine) Usage(context.Context, string, string) (upstream.UsageReport, error) {
	if e.down {
		return upstream.UsageReport{}, errors.New("down")
	}
	return upstream.UsageReport{State: e.state, Usage: upstream.Usage{CompletionTokens: e.tokens}}, nil
}

func (e *fakeEngine) Cancel(context.Context, string, string) error {
	if e.down || e.cancelFails {
		return errors.New("down")
	}
	e.cancelled = true
	return nil
}

// A node died in the middle of a request. What the request is billed depends on who
// still knows something of it; a wrong figure shows on the client account.
func TestOutcomeOfAnOpenRequest(t *testing.T) {
	open := &fleetv1.OpenRequest{Request: "n.1", Reserved: 100, Before: 20, DispatchedAs: "m.7"}
	finished := &fleetv1.OpenRequest{Request: "n.1", Reserved: 100, Before: 20, Finished: true, Used: 50}
	cases := map[string]struct {
		open   *fleetv1.OpenRequest
		engine fakeEngine
		waited time.Duration
		want   outcome
	}{
		"its node had finished it":           {finished, fakeEngine{down: true}, 0, outcome{30, fromNode}},
		"the engine finished it":             {open, fakeEngine{state: upstream.UsageFinished, tokens: 70}, 0, outcome{50, fromEngine}},
		"the engine used more than the part": {open, fakeEngine{state: upstream.UsageFinished, tokens: 900}, 0, outcome{100, fromEngine}},
		"the engine never saw it":            {open, fakeEngine{state: upstream.UsageUnknown}, 0, outcome{0, neverRan}},
		"never seen and not cancelled":       {open, fakeEngine{state: upstream.UsageUnknown, cancelFails: true}, 0, outcome{}},
		"the engine still runs it":           {open, fakeEngine{state: upstream.UsageRunning, tokens: 5}, time.Minute, outcome{}},
		"the engine runs it for too long":    {open, fakeEngine{state: upstream.UsageRunning, tokens: 5}, EngineWait, outcome{100, worstCase}},
		"the engine is down":                 {open, fakeEngine{down: true}, time.Minute, outcome{}},
		"the engine stays down":              {open, fakeEngine{down: true}, EngineWait, outcome{100, worstCase}},
		"a plain service":                    {open, fakeEngine{plain: true}, 0, outcome{100, worstCase}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(outcomeOf(context.Background(), &c.engine, c.open, c.waited), c.want)
			if c.want.from == neverRan {
				is.True(c.engine.cancelled) // or a paused node could still send it
			}
		})
	}
}
