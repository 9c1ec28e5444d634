package fake

import (
	"context"
	"io"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

var _ upstream.Resumer = (*Client)(nil)

// Resume implements upstream.Resumer.
func (c *Client) Resume(ctx context.Context, to *operatorv1.Upstream, id string, from uint64) (upstream.ChatStream, error) {
	if err := c.send(ctx, to); err != nil {
		return nil, err
	}
	run, state := c.upstreams.kept(to.GetName(), id)
	if run == nil || state.Cancelled && from >= state.Produced {
		return nil, result.New(result.StreamLost, "%s doesn't hold the stream", to.GetName())
	}
	return &resumed{stream: stream{client: c, ctx: ctx, to: to, run: run}, next: from + c.upstreams.currentFaults().SkipOnResume}, nil
}

// kept returns an engine's run of a request with its state now; nil when the engine
// knows none.
func (u *Upstreams) kept(engine, request string) (*EngineRun, EngineRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run := u.byID[engine+"/"+request]
	if run == nil {
		return nil, EngineRun{}
	}
	return run, *run
}

// resumed is a stream that is read on from a chunk; the engine goes on generating
// whoever reads.
type resumed struct {
	stream
	next uint64
}

// Next implements upstream.ChatStream.
func (r *resumed) Next() (upstream.Chunk, error) {
	u := r.client.upstreams
	for {
		_, state := u.kept(r.to.GetName(), r.run.Request)
		words := uint64(len(state.Answer))
		switch {
		case state.Request == "":
			return upstream.Chunk{}, result.New(result.AnswerCut, "%s is gone", r.to.GetName())
		case r.next < state.Produced || r.next >= words && state.Finished:
			return r.at(words)
		case state.Cancelled:
			return upstream.Chunk{}, result.New(result.AnswerCut, "%s ended the stream early", r.to.GetName())
		}
		select {
		case <-u.clock.After(u.TokenTime):
		case <-r.ctx.Done():
			return upstream.Chunk{}, result.New(result.AnswerCut, "%v", r.ctx.Err())
		case <-r.client.gate.Dead():
			return upstream.Chunk{}, result.New(result.AnswerCut, "%v", ErrDead)
		}
	}
}

// at passes the chunk whose turn it is: a word, the usage, or the end.
func (r *resumed) at(words uint64) (upstream.Chunk, error) {
	number := r.next
	r.next++
	switch {
	case number < words:
		return r.pass(wordChunk(r.run.Request, r.run.Answer[number]), true)
	case number == words:
		return r.pass(usageChunk(r.run), true)
	}
	if _, err := r.pass(upstream.Chunk{}, true); err != io.EOF {
		return upstream.Chunk{}, err
	}
	return upstream.Chunk{}, io.EOF
}

func wordChunk(request, word string) upstream.Chunk {
	return upstream.Chunk{Data: chunkJSON(request, word), Content: word + " "}
}

func usageChunk(run *EngineRun) upstream.Chunk {
	usage := upstream.Usage{PromptTokens: run.PromptTokens, CompletionTokens: uint64(len(run.Answer))}
	return upstream.Chunk{Data: usageJSON(run.Request, usage), FinishReason: "stop", Usage: &usage}
}
