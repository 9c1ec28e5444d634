package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Client is one node's way to the upstreams.
type Client struct {
	upstreams *Upstreams
	node      Endpoint
	gate      *Gate
	probe     StepHook
}

var _ upstream.Client = (*Client)(nil)

// NewClient returns a node's client.
func NewClient(upstreams *Upstreams, node Endpoint, gate *Gate, probe StepHook) *Client {
	return &Client{upstreams: upstreams, node: node, gate: gate, probe: probe}
}

// send reaches an upstream, or proves that nothing was sent.
func (c *Client) send(ctx context.Context, to *operatorv1.Upstream) error {
	if err := c.gate.Enter(ctx); err != nil {
		return result.New(result.NoUpstream, "not sent: %v", err)
	}
	c.upstreams.clock.Sleep(c.upstreams.network.latency(c.node, Endpoint(to.GetName()), 0))
	if !c.upstreams.network.Reachable(c.node, Endpoint(to.GetName())) || c.upstreams.isDead(to.GetName()) {
		return result.New(result.NoUpstream, "%s can't be reached", to.GetName())
	}
	return nil
}

// refuse answers for an upstream whether a request that has arrived is too late to run.
func (c *Client) refuse(to *operatorv1.Upstream, notAfter time.Time) error {
	if notAfter.IsZero() || c.upstreams.currentFaults().IgnoreNotAfter || !c.upstreams.clock.Now().After(notAfter) {
		return nil
	}
	return result.New(result.RequestExpired, "the request reached %s too late", to.GetName())
}

// back brings an answer home, or loses it.
func (c *Client) back(ctx context.Context, to *operatorv1.Upstream) error {
	if err := c.gate.Enter(ctx); err != nil {
		return result.New(result.UpstreamFailed, "%v", err)
	}
	if !c.upstreams.network.Reachable(Endpoint(to.GetName()), c.node) {
		return result.New(result.UpstreamFailed, "%s: the answer was lost", to.GetName())
	}
	return nil
}

// Chat implements upstream.Client.
func (c *Client) Chat(ctx context.Context, to *operatorv1.Upstream, r upstream.ChatRequest) (upstream.ChatStream, error) {
	c.probe(StepDispatch, string(c.node))
	c.upstreams.attempted(to.GetName(), c.node, r.ID)
	if err := c.send(ctx, to); err != nil {
		return nil, err
	}
	if err := c.refuse(to, r.NotAfter); err != nil {
		return nil, err
	}
	run := c.upstreams.newRun(to.GetName(), r.ID, r.Body)
	s := &stream{client: c, ctx: ctx, to: to, run: run, chunks: make(chan upstream.Chunk, len(run.Answer)+2)}
	go s.generate()
	return s, nil
}

// Call implements upstream.Client.
func (c *Client) Call(ctx context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	switch {
	case r.Path == modelsPath:
		return c.order(ctx, to, r)
	case isReport(r.Path):
		return c.report(ctx, to, r)
	}
	c.probe(StepCall, string(c.node))
	if err := c.send(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	if err := c.refuse(to, r.NotAfter); err != nil {
		return upstream.CallResponse{}, err
	}
	run := ServiceRun{Upstream: to.GetName(), Request: r.ID, Method: r.Method, Body: string(r.Body), At: c.upstreams.clock.Now()}
	c.upstreams.ran(run)
	if c.upstreams.currentFaults().RunTwice {
		c.upstreams.ran(run)
	}
	select {
	case <-c.upstreams.clock.After(c.upstreams.CallTime):
	case <-ctx.Done():
		return upstream.CallResponse{}, result.New(result.UpstreamFailed, "%v", ctx.Err())
	}
	if err := c.back(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	return upstream.CallResponse{Status: 200, ContentType: "text/plain", Body: append([]byte(nil), r.Body...)}, nil
}

// order asks an engine what it holds, or tells it.
func (c *Client) order(ctx context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	if r.Method == http.MethodPost {
		c.probe(StepOrder, string(c.node))
	}
	if err := c.send(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	answer := c.upstreams.models(to, c.node, r)
	return answer, c.back(ctx, to)
}

// report reads an engine's load or cache events.
func (c *Client) report(ctx context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	if err := c.send(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	answer, told := c.upstreams.report(to.GetName(), r)
	for _, step := range told {
		c.probe(step, string(c.node))
	}
	return answer, c.back(ctx, to)
}

// Usage implements upstream.Client.
func (c *Client) Usage(ctx context.Context, to *operatorv1.Upstream, id string) (upstream.UsageReport, error) {
	if err := c.send(ctx, to); err != nil {
		return upstream.UsageReport{}, err
	}
	c.upstreams.mu.Lock()
	run := c.upstreams.byID[to.GetName()+"/"+id]
	report := upstream.UsageReport{State: upstream.UsageUnknown}
	if run != nil {
		report.State = upstream.UsageRunning
		if run.Finished || run.Cancelled {
			report.State = upstream.UsageFinished
		}
		report.Usage = upstream.Usage{PromptTokens: run.PromptTokens, CompletionTokens: run.Produced}
	}
	c.upstreams.mu.Unlock()
	return report, c.back(ctx, to)
}

// Cancel implements upstream.Client.
func (c *Client) Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error {
	if err := c.send(ctx, to); err != nil {
		return err
	}
	c.upstreams.cancel(to.GetName(), id)
	return c.back(ctx, to)
}

// stream is an answer on its way; the engine generates whoever reads.
type stream struct {
	client *Client
	ctx    context.Context
	to     *operatorv1.Upstream
	run    *EngineRun
	chunks chan upstream.Chunk
	read   int
}

func (s *stream) generate() {
	u := s.client.upstreams
	for i, word := range s.run.Answer {
		u.clock.Sleep(u.TokenTime)
		if cut := u.currentFaults().CutAfter; cut > 0 && i >= cut || !u.produce(s.run) {
			u.cancel(s.to.GetName(), s.run.Request)
			close(s.chunks)
			return
		}
		s.chunks <- wordChunk(s.run.Request, word)
	}
	u.finish(s.run)
	s.chunks <- usageChunk(s.run)
	s.chunks <- upstream.Chunk{}
	close(s.chunks)
}

// Next implements upstream.ChatStream. A crossed or cut answer fails as the HTTP
// client fails it, which finds it out by the chunk's id and the terminal marker.
func (s *stream) Next() (upstream.Chunk, error) {
	s.tell()
	select {
	case chunk, open := <-s.chunks:
		return s.pass(chunk, open)
	case <-s.ctx.Done():
		return upstream.Chunk{}, result.New(result.AnswerCut, "%v", s.ctx.Err())
	case <-s.client.gate.Dead():
		return upstream.Chunk{}, result.New(result.AnswerCut, "%v", ErrDead)
	}
}

const midStream = 2

func (s *stream) tell() {
	s.read++
	switch s.read {
	case midStream + 1:
		s.client.probe(StepMidStream, string(s.client.node))
	case len(s.run.Answer) + 1:
		s.client.probe(StepLastToken, string(s.client.node))
	}
}

func (s *stream) pass(chunk upstream.Chunk, open bool) (upstream.Chunk, error) {
	if err := s.client.back(s.ctx, s.to); err != nil {
		return upstream.Chunk{}, result.New(result.AnswerCut, "%v", err)
	}
	switch {
	case !open:
		return upstream.Chunk{}, result.New(result.AnswerCut, "%s ended the stream early", s.to.GetName())
	case s.client.upstreams.currentFaults().Cross:
		return upstream.Chunk{}, result.New(result.AnswerCrossed, "%s answered for another request", s.to.GetName())
	case chunk.Data == nil:
		return upstream.Chunk{}, io.EOF
	}
	return chunk, nil
}

// Close implements upstream.ChatStream.
func (s *stream) Close() {}

func chunkJSON(id, word string) []byte {
	return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q}}]}`, id, word+" ")
}

func usageJSON(id string, u upstream.Usage) []byte {
	return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`,
		id, u.PromptTokens, u.CompletionTokens)
}
