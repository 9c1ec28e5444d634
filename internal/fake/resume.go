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
	if err := c.sendRequest(ctx, to); err != nil {
		return nil, err
	}
	run, state := c.upstreams.lookupRun(to.GetName(), id)
	if run == nil || state.Cancelled && from >= state.Produced {
		return nil, result.New(result.StreamLost, "%s doesn't hold the stream", to.GetName())
	}
	return &resumedStream{stream: stream{client: c, ctx: ctx, to: to, run: run}, next: from + c.upstreams.currentFaults().SkipOnResume}, nil
}

// lookupRun returns an engine's run of a request and a copy of its current state; nil if the
// engine has none.
func (u *Upstreams) lookupRun(engine, request string) (*EngineRun, EngineRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run := u.runsByKey[engine+"/"+request]
	if run == nil {
		return nil, EngineRun{}
	}
	return run, *run
}

// resumedStream reads a run from a given chunk on; the engine generates whether or not anyone
// reads.
type resumedStream struct {
	stream
	next uint64
}

// Next implements upstream.ChatStream.
func (r *resumedStream) Next() (upstream.Chunk, error) {
	u := r.client.upstreams
	for {
		_, state := u.lookupRun(r.to.GetName(), r.run.Request)
		tokens := uint64(len(state.Answer))
		switch {
		case state.Request == "":
			return upstream.Chunk{}, result.New(result.AnswerCut, "%s is gone", r.to.GetName())
		case r.next < state.Produced || r.next >= tokens && state.Finished:
			return r.nextChunk(tokens)
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

// nextChunk returns the next chunk: a word, the usage, or the end of the stream.
func (r *resumedStream) nextChunk(tokens uint64) (upstream.Chunk, error) {
	i := r.next
	r.next++
	switch {
	case i < tokens:
		return r.receiveChunk(wordChunk(r.run.Request, r.run.Answer[i]), true)
	case i == tokens:
		return r.receiveChunk(usageChunk(r.run), true)
	}
	if _, err := r.receiveChunk(upstream.Chunk{}, true); err != io.EOF {
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
