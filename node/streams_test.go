package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	streamKey    = "caller-key"
	streamTokens = 10
	tokenTime    = 20 * time.Millisecond
)

// streamEngine generates streamTokens tokens for each request, regardless of readers, and stores
// them.
type streamEngine struct {
	upstream.Client
	engines *testEngines
	mu      sync.Mutex
	streams map[string][]string
}

// Call returns an error for load queries: this engine only streams.
func (s *streamEngine) Call(context.Context, *operatorv1.Upstream, upstream.CallRequest) (upstream.CallResponse, error) {
	return upstream.CallResponse{}, result.New(result.NoUpstream, "this engine only streams")
}

func (s *streamEngine) Chat(_ context.Context, _ *operatorv1.Upstream, r upstream.ChatRequest) (upstream.ChatStream, error) {
	s.mu.Lock()
	s.streams[r.ID] = nil
	s.mu.Unlock()
	go s.generate(r.ID)
	return &generatedStream{engine: s, id: r.ID}, nil
}

func (s *streamEngine) generate(id string) {
	for i := range streamTokens {
		time.Sleep(tokenTime)
		s.engines.addUsage(id, 1)
		s.mu.Lock()
		s.streams[id] = append(s.streams[id], fmt.Sprint("word", i))
		s.mu.Unlock()
	}
}

// Resume makes testEngines an upstream.Resumer.
func (e *testEngines) Resume(ctx context.Context, to *operatorv1.Upstream, id string, from uint64) (upstream.ChatStream, error) {
	return e.Client.(upstream.Resumer).Resume(ctx, to, id, from)
}

func (s *streamEngine) Resume(_ context.Context, _ *operatorv1.Upstream, id string, from uint64) (upstream.ChatStream, error) {
	return &generatedStream{engine: s, id: id, next: int(from)}, nil
}

// generatedStream reads one stored stream.
type generatedStream struct {
	engine *streamEngine
	id     string
	next   int
}

func (g *generatedStream) Close() {}

func (g *generatedStream) Next() (upstream.Chunk, error) {
	defer func() { g.next++ }()
	switch {
	case g.next == streamTokens:
		return upstream.Chunk{Data: []byte("{}"), Usage: &upstream.Usage{CompletionTokens: streamTokens}}, nil
	case g.next > streamTokens:
		return upstream.Chunk{}, io.EOF
	}
	for {
		g.engine.mu.Lock()
		words := g.engine.streams[g.id]
		g.engine.mu.Unlock()
		if len(words) > g.next {
			return upstream.Chunk{Data: []byte("{}"), Content: words[g.next]}, nil
		}
		time.Sleep(tokenTime)
	}
}

// streamCaller reads a stream and may stall before chunk stallAt.
type streamCaller struct {
	stallAt int
	stalled chan struct{}
	resume  chan struct{}
	cursors []string
	words   []string
}

func newStreamCaller(stallAt int) *streamCaller {
	return &streamCaller{stallAt: stallAt, stalled: make(chan struct{}), resume: make(chan struct{})}
}

func (c *streamCaller) Start(budget.RequestID, string) {}
func (c *streamCaller) Streams() bool                  { return true }
func (c *streamCaller) Restart()                       {}

func (c *streamCaller) Chunk(cursor string, chunk upstream.Chunk) error {
	if len(c.cursors) == c.stallAt {
		close(c.stalled)
		<-c.resume
		return errors.New("the node has crashed")
	}
	c.cursors = append(c.cursors, cursor)
	if chunk.Content != "" {
		c.words = append(c.words, chunk.Content)
	}
	return nil
}

func (f *testFleet) declareChat() {
	f.engines.Client = &streamEngine{engines: f.engines, streams: map[string][]string{}}
	f.append(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: "chat", Changes: []*operatorv1.Change{
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{Name: "a", KeySha256: []string{config.HashKey(streamKey)}}}}},
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}}}}},
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{Name: testBudget, Account: "a", Services: []string{"chat"}}}}},
	}}}})
	f.await(func() bool {
		for _, n := range f.nodes {
			if n.Config().ServiceByModel("m") == nil || n.Config().BudgetName("a", "chat") == "" {
				return false
			}
		}
		return true
	})
}

// A node crashes with an open stream, and the caller resumes the stream on another node. It must
// get each missing word once, and the end of the stream. After the recovery of the crashed node's
// requests the account must have paid for the answer exactly once: the second node bills nothing,
// recovery bills the engine's usage.
func TestResumedStreamIsBilledOnceAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, nearRegion, nearRegion, farRegion)
		f.declareChat()
		f.topUp(50_000)
		first := newStreamCaller(4)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = f.nodes[1].Requests().Chat(context.Background(), request.ChatCall{Key: streamKey, Body: []byte(
				`{"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hello"}]}`)}, first)
		}()
		<-first.stalled
		f.crash(1)
		resumed := newStreamCaller(-1)
		is.NoErr(f.nodes[2].Requests().ResumeChat(context.Background(), request.ResumeCall{Key: streamKey, Cursor: first.cursors[3]}, resumed))
		is.Equal(strings.Join(append(first.words, resumed.words...), " "), "word0 word1 word2 word3 word4 word5 word6 word7 word8 word9")
		is.Equal(len(first.cursors)+len(resumed.cursors), streamTokens+1)
		f.awaitReleased(0, 1)
		f.awaitBilled(0)
		is.Equal(f.checkLedger(0).Spent, uint64(streamTokens))
		close(first.resume)
		<-ended
	})
}

func (s *generatedStream) Version() string { return "" }
