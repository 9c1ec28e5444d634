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
	// tokenTimeout is the maximum time between two tokens of an attempt.
	tokenTimeout = 10 * time.Second
	dialTimeout  = 2 * time.Second
)

// request is the state of one request at a node, over all of its attempts.
type request struct {
	node             *node
	call             call
	routingRequest   routing.Request
	arrived          time.Time
	admissionRequest *admission.Request
	tried            map[string]bool
	attemptCount     int
	firstTokenAt     time.Time
	finished         bool
}

func (r *request) onAdmission(err error) {
	if err != nil {
		r.node.fleet.metrics.recordRefusal(r.call)
		return
	}
	r.node.fleet.sim.After(0, r.start)
}

func (r *request) start() {
	r.node.fleet.metrics.recordAdmission(r.call, r.node.fleet.sim.Now().Sub(r.arrived))
	if r.node.retryBudget != nil {
		r.node.retryBudget.FirstAttempt()
	}
	r.tryNext()
}

func (r *request) tryNext() {
	pick, err := r.node.picker.Pick(r.routingRequest, r.node.fleet.upstreams)
	if err != nil {
		r.finish(err)
		return
	}
	r.attemptCount++
	if r.attemptCount > 1 {
		r.node.fleet.metrics.recordRetry(r.call)
	}
	t := &attempt{request: r, pick: pick, name: pick.Upstream.GetName()}
	t.send()
}

// retry tries another upstream, unless maxAttempts or the retry budget is used up.
func (r *request) retry(name string, err error) {
	r.tried[name] = true
	if r.attemptCount >= maxAttempts || (r.node.retryBudget != nil && !r.node.retryBudget.TryRetry()) {
		r.finish(err)
		return
	}
	r.tryNext()
}

func (r *request) finish(err error) {
	if r.finished {
		return
	}
	r.finished = true
	now := r.node.fleet.sim.Now()
	if r.admissionRequest != nil {
		r.node.scheduler.Release(now, r.admissionRequest)
	}
	r.node.fleet.metrics.recordFinish(r.call, r.arrived, r.firstTokenAt, now, err)
}

// attempt is one attempt of a request at one engine.
type attempt struct {
	request     *request
	pick        routing.PickResult
	name        string
	cancel      func()
	lastTokenAt time.Time
	tokenCount  int
	ended       bool
}

func (t *attempt) remote() bool {
	f := t.request.node.fleet
	return f.regions[t.name] != t.request.node.region
}

func (t *attempt) send() {
	f, c := t.request.node.fleet, t.request.call
	t.lastTokenAt = f.sim.Now()
	if t.remote() && f.link.cut {
		f.sim.After(dialTimeout, func() { t.end(enginemodel.ErrUnreachable) })
		return
	}
	delay := localHop
	if t.remote() {
		delay = f.link.delay(t.request.node.region, float64(c.prompt*bytesPerPromptToken+requestOverhead))
	}
	f.sim.After(delay, t.submit)
	f.sim.After(tokenTimeout, t.checkTimeout)
}

func (t *attempt) submit() {
	c := t.request.call
	t.cancel = t.request.node.fleet.byName[t.name].Submit(&enginemodel.Request{
		Prefix: c.prefix, PromptTokens: c.prompt, AnswerTokens: c.answer, MaxAnswerTokens: maxAnswerTokens,
		Priority: t.request.node.enginePriority(c), OnToken: t.onToken, OnEnd: func(_ time.Time, err error) { t.end(err) },
	})
}

// checkTimeout fails and cancels an attempt without a token for tokenTimeout.
func (t *attempt) checkTimeout() {
	f := t.request.node.fleet
	if t.ended {
		return
	}
	if left := tokenTimeout - f.sim.Now().Sub(t.lastTokenAt); left > 0 {
		f.sim.After(left, t.checkTimeout)
		return
	}
	t.end(enginemodel.ErrFailed)
	if t.cancel != nil {
		t.cancel()
	}
}

func (t *attempt) onToken(at time.Time, n int) {
	if t.ended {
		return
	}
	r := t.request
	f := r.node.fleet
	if t.remote() {
		f.link.bytes += bytesPerChunk
		if f.link.cut {
			return
		}
	}
	if n > 1 {
		f.metrics.recordTokenGap(r.call, at.Sub(t.lastTokenAt))
	}
	t.lastTokenAt = at
	t.tokenCount = n
	if n == 1 {
		t.pick.FirstToken()
		if r.firstTokenAt.IsZero() {
			r.firstTokenAt = at.Add(t.latency())
		}
	}
}

func (t *attempt) latency() time.Duration {
	if t.remote() {
		return linkLatency
	}
	return localHop
}

func (t *attempt) end(err error) {
	if t.ended {
		return
	}
	t.ended = true
	t.pick.Done(toResult(err))
	if err == nil {
		t.request.finish(nil)
		return
	}
	t.request.retry(t.name, err)
}

func toResult(err error) error {
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
