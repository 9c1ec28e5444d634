package node

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	drainTime = 30 * time.Second
	// slowAnswer is longer than any drain in these tests.
	slowAnswer = 2 * time.Minute
	chatBody   = `{"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hello"}]}`
)

// slowUpstreams answers every request after a time that the test sets.
type slowUpstreams struct {
	upstream.Client
	engines *testEngines

	mu     sync.Mutex
	answer time.Duration
	// failure, if set, is the outcome of every completion.
	failure error
	// sent counts the completions and calls.
	sent int
}

func (u *slowUpstreams) set(answer time.Duration, failure error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answer, u.failure = answer, failure
}

func (u *slowUpstreams) send() (time.Duration, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent++
	return u.answer, u.failure
}

func (u *slowUpstreams) sends() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sent
}

func (u *slowUpstreams) Chat(ctx context.Context, _ *operatorv1.Upstream, r upstream.ChatRequest) (upstream.ChatStream, error) {
	answer, failure := u.send()
	u.engines.addUsage(r.ID, 1)
	if failure != nil {
		sleep(ctx, answer)
		return nil, failure
	}
	return &slowStream{ctx: ctx, answer: answer}, nil
}

func (u *slowUpstreams) Resume(ctx context.Context, _ *operatorv1.Upstream, _ string, from uint64) (upstream.ChatStream, error) {
	answer, _ := u.send()
	return &slowStream{ctx: ctx, answer: answer, next: int(from)}, nil
}

func (u *slowUpstreams) Call(ctx context.Context, _ *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	if r.Method != "POST" {
		return upstream.CallResponse{}, result.New(result.NoUpstream, "no load")
	}
	answer, _ := u.send()
	sleep(ctx, answer)
	if ctx.Err() != nil {
		return upstream.CallResponse{}, result.New(result.UpstreamFailed, "%v", ctx.Err())
	}
	return upstream.CallResponse{Status: 200}, nil
}

// slowStream has one word at once and its end after a while.
type slowStream struct {
	ctx    context.Context
	answer time.Duration
	next   int
}

func (s *slowStream) Close() {}

func (s *slowStream) Next() (upstream.Chunk, error) {
	s.next++
	switch s.next {
	case 1:
		return upstream.Chunk{Data: []byte("{}"), Content: "word"}, nil
	case 2:
		sleep(s.ctx, s.answer)
		if s.ctx.Err() != nil {
			return upstream.Chunk{}, result.New(result.AnswerCut, "%v", s.ctx.Err())
		}
		return upstream.Chunk{Data: []byte("{}"), Usage: &upstream.Usage{CompletionTokens: 1}}, nil
	}
	return upstream.Chunk{}, io.EOF
}

// startDrainFleet starts two nodes that serve completions and calls; the second is to be drained.
func startDrainFleet(t *testing.T) (*testFleet, *slowUpstreams) {
	f := startFleet(t, testPolicy, nearRegion, nearRegion)
	f.declareChat()
	upstreams := &slowUpstreams{engines: f.engines}
	f.engines.Client = upstreams
	f.append(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: "work", Changes: []*operatorv1.Change{
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: testService,
			Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN, Calls: []*operatorv1.Call{{Method: "POST", Path: "/", Tokens: 1}}}}}},
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: workUpstream(0)}}},
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{Name: testBudget, Account: "a", Services: []string{"chat", testService}}}}},
	}}}})
	f.await(func() bool {
		for _, n := range f.nodes {
			if n.Config().BudgetName("a", testService) == "" {
				return false
			}
		}
		return true
	})
	f.topUp(50_000)
	return f, upstreams
}

// outcome is how a request ended.
type outcome struct {
	err *result.Error
	at  time.Time
}

// run starts a request and returns the channel on which its outcome arrives.
func run(do func() error) <-chan outcome {
	ended := make(chan outcome, 1)
	go func() { ended <- outcome{result.From(do()), time.Now()} }()
	return ended
}

func (f *testFleet) chat(n *testNode, timeout time.Duration) <-chan outcome {
	return run(func() error {
		return n.Requests().Chat(f.t.Context(), request.ChatCall{Key: streamKey, Body: []byte(chatBody), Timeout: timeout}, newStreamCaller(-1))
	})
}

func (f *testFleet) call(n *testNode, timeout time.Duration) <-chan outcome {
	call := postCall()
	call.Key, call.Timeout = streamKey, timeout
	return run(func() error {
		_, err := n.Requests().Call(f.t.Context(), call)
		return err
	})
}

func (f *testFleet) resume(n *testNode, cursor string) <-chan outcome {
	return run(func() error {
		return n.Requests().ResumeChat(f.t.Context(), request.ResumeCall{Key: streamKey, Cursor: cursor}, newStreamCaller(-1))
	})
}

// drainFor starts a drain with a deadline and returns a channel that is closed at its end.
func (f *testFleet) drainFor(n *testNode, d time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(f.t.Context(), d)
		defer cancel()
		n.Drain(ctx)
	}()
	time.Sleep(100 * time.Millisecond)
	return ended
}

func (n *testNode) count(number event.Number) uint64 { return n.events.Counts()[number.Kind().Name] }

// checkDraining asserts that a request was refused or ended because the node drains.
func checkDraining(is *is.I, ended <-chan outcome) *result.Error {
	is.Helper()
	refused := (<-ended).err
	is.True(refused != nil)
	is.Equal(refused.Code, result.Draining)
	is.True(refused.RetryAfter > 0)
	return refused
}

func (s *slowStream) Version() string { return "" }
