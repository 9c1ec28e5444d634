package routing

import (
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/admission"
	"lavenderpin.dev/lavenderpin/internal/enginemodel"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	maxAttempts = 3
	// silence is how long an attempt may go without a token.
	silence     = 10 * time.Second
	dialTimeout = 2 * time.Second
)

// attempts is one request on its way at a node.
type attempts struct {
	node    *node
	call    call
	ask     routing.Request
	arrived time.Time
	item    *admission.Request
	tried   map[string]bool
	made    int
	first   time.Time
	over    bool
}

func (a *attempts) decided(err error) {
	if err != nil {
		a.node.fleet.tally.refused(a.call)
		return
	}
	a.node.fleet.sim.After(0, a.begin)
}

func (a *attempts) begin() {
	a.node.fleet.tally.admitted(a.call, a.node.fleet.sim.Now().Sub(a.arrived))
	if a.node.budget != nil {
		a.node.budget.FirstAttempt()
	}
	a.try()
}

func (a *attempts) try() {
	pick, err := a.node.picker.Pick(a.ask, a.node.fleet.upstreams)
	if err != nil {
		a.finish(err)
		return
	}
	a.made++
	if a.made > 1 {
		a.node.fleet.tally.retried(a.call)
	}
	t := &attempt{attempts: a, pick: pick, name: pick.Upstream.GetName()}
	t.send()
}

// failed tries another upstream if the rules allow it.
func (a *attempts) failed(name string, err error) {
	a.tried[name] = true
	if a.made >= maxAttempts || (a.node.budget != nil && !a.node.budget.TryRetry()) {
		a.finish(err)
		return
	}
	a.try()
}

func (a *attempts) finish(err error) {
	if a.over {
		return
	}
	a.over = true
	now := a.node.fleet.sim.Now()
	if a.item != nil {
		a.node.core.Release(now, a.item)
	}
	a.node.fleet.tally.finished(a.call, a.arrived, a.first, now, err)
}

// attempt is one try at one engine.
type attempt struct {
	attempts *attempts
	pick     routing.PickResult
	name     string
	cancel   func()
	heard    time.Time
	tokens   int
	over     bool
}

func (t *attempt) remote() bool {
	f := t.attempts.node.fleet
	return f.regions[t.name] != t.attempts.node.region
}

func (t *attempt) send() {
	f, c := t.attempts.node.fleet, t.attempts.call
	t.heard = f.sim.Now()
	if t.remote() && f.link.cut {
		f.sim.After(dialTimeout, func() { t.end(enginemodel.ErrUnreachable) })
		return
	}
	delay := localHop
	if t.remote() {
		delay = f.link.delay(t.attempts.node.region, float64(c.prompt*bytesPerPromptToken+requestOverhead))
	}
	f.sim.After(delay, t.arrive)
	f.sim.After(silence, t.watch)
}

func (t *attempt) arrive() {
	c := t.attempts.call
	t.cancel = t.attempts.node.fleet.byName[t.name].Submit(&enginemodel.Request{
		Prefix: c.prefix, PromptTokens: c.prompt, AnswerTokens: c.answer, MaxAnswerTokens: mostAnswer,
		Priority: t.attempts.node.enginePriority(c), OnToken: t.token, OnEnd: func(_ time.Time, err error) { t.end(err) },
	})
}

// watch gives up on an attempt that has been silent for too long.
func (t *attempt) watch() {
	f := t.attempts.node.fleet
	if t.over {
		return
	}
	if left := silence - f.sim.Now().Sub(t.heard); left > 0 {
		f.sim.After(left, t.watch)
		return
	}
	t.end(enginemodel.ErrFailed)
	if t.cancel != nil {
		t.cancel()
	}
}

func (t *attempt) token(at time.Time, n int) {
	if t.over {
		return
	}
	a := t.attempts
	f := a.node.fleet
	if t.remote() {
		f.link.bytes += bytesPerChunk
		if f.link.cut {
			return
		}
	}
	if n > 1 {
		f.tally.between(a.call, at.Sub(t.heard))
	}
	t.heard = at
	t.tokens = n
	if n == 1 {
		t.pick.FirstToken()
		if a.first.IsZero() {
			a.first = at.Add(t.hop())
		}
	}
}

func (t *attempt) hop() time.Duration {
	if t.remote() {
		return linkLatency
	}
	return localHop
}

func (t *attempt) end(err error) {
	if t.over {
		return
	}
	t.over = true
	t.pick.Done(resultOf(err))
	if err == nil {
		t.attempts.finish(nil)
		return
	}
	t.attempts.failed(t.name, err)
}

func resultOf(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, enginemodel.ErrUnreachable):
		return result.New(result.NoUpstream, "dead")
	case errors.Is(err, enginemodel.ErrInterrupted):
		return result.New(result.AnswerCut, "cut")
	case errors.Is(err, enginemodel.ErrCrossed):
		return result.New(result.AnswerCrossed, "crossed")
	default:
		return result.New(result.UpstreamFailed, "failed")
	}
}
