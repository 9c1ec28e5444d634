package request

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/upstream"
)

// pausedUpstreams is an upstream.Access for tests.
type pausedUpstreams struct {
	mu      sync.Mutex
	paused  map[string]time.Duration
	leaving map[string]bool
}

func (p *pausedUpstreams) Observe(to *operatorv1.Upstream, notice upstream.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused[to.GetName()] = notice.Pause
	p.leaving[to.GetName()] = notice.Leaving
}

func (p *pausedUpstreams) PauseLeft(to *operatorv1.Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused[to.GetName()]
}

func (p *pausedUpstreams) SaidLeaving(to *operatorv1.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving[to.GetName()]
}

func (p *pausedUpstreams) leave(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving[name] = true
}

func (p *pausedUpstreams) pause(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused[name] = testPause
}

// sentRecorder is a client that records the cancellations and queries that it sends.
type sentRecorder struct {
	upstream.Client
	cancelled chan string
	queried   chan string
}

func (c *sentRecorder) Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error {
	err := c.Client.Cancel(ctx, to, id)
	c.cancelled <- to.GetName()
	return err
}

func (c *sentRecorder) Usage(ctx context.Context, to *operatorv1.Upstream, id string) (upstream.UsageReport, error) {
	c.queried <- to.GetName()
	return c.Client.Usage(ctx, to, id)
}

const testPause = time.Second

// newGuardedServer returns a server that sends everything through a guard.
func (s *fixture) newGuardedServer(name string) (*testServer, *pausedUpstreams, *sentRecorder) {
	n := s.newServer(name)
	access := &pausedUpstreams{paused: map[string]time.Duration{}, leaving: map[string]bool{}}
	sent := &sentRecorder{Client: s.client, cancelled: make(chan string, 10), queried: make(chan string, 10)}
	guard := &upstream.Guard{Client: sent, Streams: s.client, Access: access}
	n.Client, n.Resumer = guard, guard
	return n, access, sent
}

// Guards against a cancellation that is sent to an engine because it refused the request and
// asked for a pause.
func TestRefusalWithPauseIsNotCancelled(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{}, standin.EngineOptions{})
	n, access, sent := s.newGuardedServer("a")
	s.engines[0].Shedding().Refuse(testPause)
	body, answer := prompt(3)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.billedTokens(t), uint64(6))
	is.Equal(access.PauseLeft(&operatorv1.Upstream{Name: "engine-0"}), testPause)
	is.Equal(len(s.engines[0].Runs()), 0)
	is.Equal(len(sent.cancelled), 0)
	s.engines[1].Shedding().Refuse(testPause)
	err := n.Chat(context.Background(), chatCall(body), &testSink{stream: true}) // engine-0 isn't sent anything
	is.Equal(result.CodeOf(err), result.UpstreamFailed)
	is.True(!result.From(err).NotRun()) // engine-1 didn't say that it ran nothing
	is.Equal(s.engines[0].Shedding().Arrivals(), 1)
	is.Equal(len(sent.cancelled), 0)
}

// Guards against an engine that goes on generating for nobody because it asked for a pause after
// the request had begun.
func TestRunningRequestIsCancelledDuringPause(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{TokenTime: time.Millisecond})
	n, access, sent := s.newGuardedServer("a")
	ctx, cancel := context.WithCancel(context.Background())
	body, _ := prompt(1000)
	sink := &testSink{stream: true}
	sink.atChunk = func(chunk int) error {
		if chunk == 3 {
			access.pause("engine-0")
			cancel()
		}
		return nil
	}
	err := n.Chat(ctx, chatCall(body), sink)
	is.Equal(result.CodeOf(err), result.CallerGone)
	is.Equal(<-sent.cancelled, "engine-0")
	is.Equal(len(sent.queried), 0)            // its count can't be asked for now
	is.True(n.billedTokens(t) >= uint64(4))   // so what was delivered is billed
	is.True(n.billedTokens(t) < uint64(1000)) // and nothing else
}

// Guards against a broken stream being asked for at an engine that asked for a pause: it is run
// elsewhere, and what the paused engine still does is cancelled.
func TestInterruptedStreamIsNotResumedDuringPause(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 4}, standin.EngineOptions{})
	n, access, sent := s.newGuardedServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	sink.atChunk = func(chunk int) error {
		if chunk == 2 {
			access.pause("engine-0")
		}
		return nil
	}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(s.engines[0].Resumes(), int64(0))
	is.Equal(<-sent.cancelled, "engine-0")
}

// Guards against a caller's own resumption being sent to an engine that asked for a pause, and
// against the claim that its completion didn't run.
func TestCallerResumesOnlyAfterPause(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	n, access, _ := s.newGuardedServer("a")
	body, _ := prompt(5)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	access.pause("engine-0")
	rest := &testSink{stream: true}
	err := n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[1]}, rest)
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.Equal(result.From(err).RetryAfter, testPause)
	is.True(!result.From(err).NotRun())
	is.Equal(s.engines[0].Resumes(), int64(0))
	access.Observe(&operatorv1.Upstream{Name: "engine-0"}, upstream.Notice{})
	is.NoErr(n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[1]}, rest))
	is.Equal(rest.text(), "word2 word3 word4")
}

// Guards against a call being reported as "not run" or sent twice because its service refused it
// with a pause, and against an unsent call not being sent elsewhere.
func TestCallDuringPauseGoesElsewhere(t *testing.T) {
	is := is.New(t)
	s, services := newPlainFixture(t, 2)
	n, _, _ := s.newGuardedServer("a")
	services[0].Shedding().Refuse(testPause)
	response, err := n.Call(context.Background(), order("POST", "first"))
	is.NoErr(err)
	is.Equal(response.Status, 503) // the service's own answer: it doesn't say that nothing ran
	is.Equal(services[1].Runs()["first"], 0)
	response, err = n.Call(context.Background(), order("POST", "second"))
	is.NoErr(err)
	is.Equal(response.Status, 200)
	is.Equal(services[0].Shedding().Arrivals(), 1)
	is.Equal(services[1].Runs()["second"], 1)
}

// queueingAdmission is an Admission that keeps every request waiting.
type queueingAdmission struct{}

func (queueingAdmission) Admit(ctx context.Context, _ routing.Request) (func(), error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a request waiting in a queue, or holding tokens, while no upstream takes it.
func TestRequestIsRefusedAtOnceWhileAllArePaused(t *testing.T) {
	is := is.New(t)
	s, services := newPlainFixture(t, 1)
	n, _, _ := s.newGuardedServer("a")
	n.Admission = queueingAdmission{}
	n.CheckPauses = func(service string, candidates []*operatorv1.Upstream) error {
		is.Equal(service, "orders")
		is.Equal(len(candidates), 1)
		return result.New(result.NoUpstream, "all are paused").WithRetryAfter(testPause)
	}
	_, err := n.Call(context.Background(), order("POST", "order"))
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.True(result.From(err).NotRun())
	is.Equal(result.From(err).RetryAfter, testPause)
	is.Equal(n.billedTokens(t), uint64(0))
	is.Equal(len(services[0].Runs()), 0)
}

// balancerAccess is an upstream.Access that keeps pauses in the balancer which picks.
type balancerAccess struct{ *routing.Balancer }

func (a balancerAccess) Observe(to *operatorv1.Upstream, notice upstream.Notice) {
	a.Pause(to, notice.Pause)
}

func (balancerAccess) SaidLeaving(*operatorv1.Upstream) bool { return false }

// Guards against callers that come back too soon: the only upstream refused their request and
// asked for a pause, but the answer says nothing of its end.
func TestCallerLearnsEndOfPauseFromFailure(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	n := s.newServer("a")
	balancer := routing.NewBalancer(routing.DefaultSettings(), clockwork.NewFakeClock(), rand.Uint64, nil)
	n.Picker, n.Client = balancer, &upstream.Guard{Client: s.client, Access: balancerAccess{balancer}}
	s.engines[0].Shedding().Refuse(testPause)
	body, _ := prompt(3)
	err := n.Chat(context.Background(), chatCall(body), &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.UpstreamFailed)
	is.True(!result.From(err).NotRun())
	is.Equal(result.From(err).RetryAfter, testPause)
	err = n.Chat(context.Background(), chatCall(body), &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.True(result.From(err).NotRun())
	is.Equal(result.From(err).RetryAfter, testPause)
	is.Equal(s.engines[0].Shedding().Arrivals(), 1)
	is.Equal(n.billedTokens(t), uint64(0))
}
