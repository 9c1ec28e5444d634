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

// Client is one node's client for the upstreams.
type Client struct {
	upstreams *Upstreams
	node      Endpoint
	gate      *Gate
	onStep    StepHook
}

var _ upstream.Client = (*Client)(nil)

// NewClient returns the client of the given node.
func NewClient(upstreams *Upstreams, node Endpoint, gate *Gate, onStep StepHook) *Client {
	return &Client{upstreams: upstreams, node: node, gate: gate, onStep: onStep}
}

// sendRequest simulates sending to an upstream; an error means that nothing was sent.
func (c *Client) sendRequest(ctx context.Context, to *operatorv1.Upstream) error {
	if err := c.gate.Enter(ctx); err != nil {
		return result.New(result.NoUpstream, "not sent: %v", err)
	}
	c.upstreams.clock.Sleep(c.upstreams.network.latency(c.node, Endpoint(to.GetName()), 0))
	if !c.upstreams.network.Reachable(c.node, Endpoint(to.GetName())) || c.upstreams.isDown(to.GetName()) {
		return result.New(result.NoUpstream, "%s can't be reached", to.GetName())
	}
	return nil
}

// checkNotAfter returns the upstream's error for a request that arrives after its not-after time.
func (c *Client) checkNotAfter(to *operatorv1.Upstream, notAfter time.Time) error {
	if notAfter.IsZero() || c.upstreams.currentFaults().IgnoreNotAfter || !c.upstreams.clock.Now().After(notAfter) {
		return nil
	}
	return result.New(result.RequestExpired, "the request reached %s too late", to.GetName())
}

// receiveResponse simulates the response's way back to the node; an error means that it was lost.
func (c *Client) receiveResponse(ctx context.Context, to *operatorv1.Upstream) error {
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
	c.onStep(StepDispatch, string(c.node))
	c.upstreams.recordAttempt(to.GetName(), c.node, r.ID)
	if err := c.sendRequest(ctx, to); err != nil {
		return nil, err
	}
	if err := c.checkNotAfter(to, r.NotAfter); err != nil {
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
		return c.callModels(ctx, to, r)
	case isReportPath(r.Path):
		return c.callReport(ctx, to, r)
	}
	c.onStep(StepCall, string(c.node))
	if err := c.sendRequest(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	if err := c.checkNotAfter(to, r.NotAfter); err != nil {
		return upstream.CallResponse{}, err
	}
	run := ServiceRun{Upstream: to.GetName(), Request: r.ID, Method: r.Method, Body: string(r.Body), At: c.upstreams.clock.Now()}
	c.upstreams.recordServiceRun(run)
	if c.upstreams.currentFaults().RunTwice {
		c.upstreams.recordServiceRun(run)
	}
	select {
	case <-c.upstreams.clock.After(c.upstreams.CallTime):
	case <-ctx.Done():
		return upstream.CallResponse{}, result.New(result.UpstreamFailed, "%v", ctx.Err())
	}
	if err := c.receiveResponse(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	return upstream.CallResponse{Status: 200, ContentType: "text/plain", Body: append([]byte(nil), r.Body...)}, nil
}

// callModels reads an engine's models or sends it an order.
func (c *Client) callModels(ctx context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	if r.Method == http.MethodPost {
		c.onStep(StepOrder, string(c.node))
	}
	if err := c.sendRequest(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	response := c.upstreams.handleModels(to, c.node, r)
	return response, c.receiveResponse(ctx, to)
}

// callReport reads an engine's load or its cache events.
func (c *Client) callReport(ctx context.Context, to *operatorv1.Upstream, r upstream.CallRequest) (upstream.CallResponse, error) {
	if err := c.sendRequest(ctx, to); err != nil {
		return upstream.CallResponse{}, err
	}
	response, steps := c.upstreams.handleReport(to.GetName(), r)
	for _, step := range steps {
		c.onStep(step, string(c.node))
	}
	return response, c.receiveResponse(ctx, to)
}

// Usage implements upstream.Client.
func (c *Client) Usage(ctx context.Context, to *operatorv1.Upstream, id string) (upstream.UsageReport, error) {
	if err := c.sendRequest(ctx, to); err != nil {
		return upstream.UsageReport{}, err
	}
	c.upstreams.mu.Lock()
	run := c.upstreams.runsByKey[to.GetName()+"/"+id]
	report := upstream.UsageReport{State: upstream.UsageUnknown}
	if run != nil {
		report.State = upstream.UsageRunning
		if run.Finished || run.Cancelled {
			report.State = upstream.UsageFinished
		}
		report.Usage = upstream.Usage{PromptTokens: run.PromptTokens, CompletionTokens: run.Produced}
	}
	c.upstreams.mu.Unlock()
	return report, c.receiveResponse(ctx, to)
}

// Cancel implements upstream.Client.
func (c *Client) Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error {
	if err := c.sendRequest(ctx, to); err != nil {
		return err
	}
	c.upstreams.cancel(to.GetName(), id)
	return c.receiveResponse(ctx, to)
}

// stream is a streamed answer; the engine generates whether or not anyone reads.
type stream struct {
	client     *Client
	ctx        context.Context
	to         *operatorv1.Upstream
	run        *EngineRun
	chunks     chan upstream.Chunk
	chunksRead int
}

func (s *stream) generate() {
	u := s.client.upstreams
	for i, word := range s.run.Answer {
		u.clock.Sleep(u.TokenTime)
		if cut := u.currentFaults().CutAfter; cut > 0 && i >= cut || !u.recordToken(s.run) {
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

// Version implements upstream.ChatStream: these engines report none.
func (s *stream) Version() string { return "" }

// Next implements upstream.ChatStream. A crossed or cut answer returns the same error as the
// HTTP client, which detects it by the chunk's id or the missing terminal marker.
func (s *stream) Next() (upstream.Chunk, error) {
	s.reportStep()
	select {
	case chunk, ok := <-s.chunks:
		return s.receiveChunk(chunk, ok)
	case <-s.ctx.Done():
		return upstream.Chunk{}, result.New(result.AnswerCut, "%v", s.ctx.Err())
	case <-s.client.gate.Dead():
		return upstream.Chunk{}, result.New(result.AnswerCut, "%v", ErrDead)
	}
}

// midStreamChunk is the number of chunks read before StepMidStream.
const midStreamChunk = 2

func (s *stream) reportStep() {
	s.chunksRead++
	switch s.chunksRead {
	case midStreamChunk + 1:
		s.client.onStep(StepMidStream, string(s.client.node))
	case len(s.run.Answer) + 1:
		s.client.onStep(StepLastToken, string(s.client.node))
	}
}

func (s *stream) receiveChunk(chunk upstream.Chunk, ok bool) (upstream.Chunk, error) {
	if err := s.client.receiveResponse(s.ctx, s.to); err != nil {
		return upstream.Chunk{}, result.New(result.AnswerCut, "%v", err)
	}
	switch {
	case !ok:
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
