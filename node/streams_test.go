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

// streamer generates streamTokens tokens for each request, whoever reads, and keeps
// them.
type streamer struct {
	upstream.Client
	engines *testEngines
	mu      sync.Mutex
	streams map[string][]string
}

// Call answers no question about load: this engine only streams.
func (s *streamer) Call(context.Context, *operatorv1.Upstream, upstream.CallRequest) (upstream.CallResponse, error) {
	return upstream.CallResponse{}, result.New(result.NoUpstream, "this engine only streams")
}

func (s *streamer) Chat(_ context.Context, _ *operatorv1.Upstream, r upstream.ChatRequest) (upstream.ChatStream, error) {
	s.mu.Lock()
	s.streams[r.ID] = nil
	s.mu.Unlock()
	go s.generate(r.ID)
	return &generated{streamer: s, id: r.ID}, nil
}

func (s *streamer) generate(id string) {
	for i := range streamTokens {
		time.Sleep(tokenTime)
		s.engines.run(id, 1)
		s.mu.Lock()
		s.streams[id] = append(s.streams[id], fmt.Sprint("word", i))
		s.mu.Unlock()
	}
}

// Resume makes testEngines an upstream.Resumer.
func (e *testEngines) Resume(_ context.Context, _ *operatorv1.Upstream, id string, from uint64) (upstream.ChatStream, error) {
	return &generated{streamer: e.Client.(*streamer), id: id, next: int(from)}, nil
}

// generated reads one kept stream.
type generated struct {
	streamer *streamer
	id       string
	next     int
}

func (g *generated) Close() {}

func (g *generated) Next() (upstream.Chunk, error) {
	defer func() { g.next++ }()
	switch {
	case g.next == streamTokens:
		return upstream.Chunk{Data: []byte("{}"), Usage: &upstream.Usage{CompletionTokens: streamTokens}}, nil
	case g.next > streamTokens:
		return upstream.Chunk{}, io.EOF
	}
	for {
		g.streamer.mu.Lock()
		words := g.streamer.streams[g.id]
		g.streamer.mu.Unlock()
		if len(words) > g.next {
			return upstream.Chunk{Data: []byte("{}"), Content: words[g.next]}, nil
		}
		time.Sleep(tokenTime)
	}
}

// streamCaller is a caller that reads a stream and may stall before a chunk.
type streamCaller struct {
	stallAt int
	stalled chan struct{}
	goOn    chan struct{}
	cursors []string
	words   []string
}

func newStreamCaller(stallAt int) *streamCaller {
	return &streamCaller{stallAt: stallAt, stalled: make(chan struct{}), goOn: make(chan struct{})}
}

func (c *streamCaller) Start(budget.RequestID, string) {}
func (c *streamCaller) Streams() bool                  { return true }
func (c *streamCaller) Restart()                       {}

func (c *streamCaller) Chunk(cursor string, chunk upstream.Chunk) error {
	if len(c.cursors) == c.stallAt {
		close(c.stalled)
		<-c.goOn
		return errors.New("the node is dead")
	}
	c.cursors = append(c.cursors, cursor)
	if chunk.Content != "" {
		c.words = append(c.words, chunk.Content)
	}
	return nil
}

func (f *testFleet) declareChat() {
	f.engines.Client = &streamer{engines: f.engines, streams: map[string][]string{}}
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

// A router dies with a stream open, and the caller reads on at another one. It must
// get the missing words once and the end, and once the dead router's requests are
// recovered the account must have paid for the answer exactly once: the second
// router bills nothing, recovery bills what the engine counted.
func TestResumedStreamIsBilledOnceAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
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
		rest := newStreamCaller(-1)
		is.NoErr(f.nodes[2].Requests().ResumeChat(context.Background(), request.ResumeCall{Key: streamKey, Cursor: first.cursors[3]}, rest))
		is.Equal(strings.Join(append(first.words, rest.words...), " "), "word0 word1 word2 word3 word4 word5 word6 word7 word8 word9")
		is.Equal(len(first.cursors)+len(rest.cursors), streamTokens+1)
		f.awaitReleased(0, 1)
		f.awaitBilled(0)
		is.Equal(f.checkLedger(0).Spent, uint64(streamTokens))
		close(first.goOn)
		<-ended
	})
}
