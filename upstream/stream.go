package upstream

import (
	"context"
	"io"
	"net"
	"strconv"

	"github.com/bytedance/sonic"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/result"
)

const (
	// doneMarker ends a whole answer.
	doneMarker = "[DONE]"
	// maxChunk bounds one line of an engine's stream, in bytes.
	maxChunk = 1 << 20
)

// httpStream reads an engine's event stream in the goroutine that asks for its chunks.
// A goroutine of its own would cost each chunk a wait for a second wake-up, which on a
// busy node is most of what a chunk waits for.
type httpStream struct {
	ctx      context.Context
	upstream string
	id       string
	response *protocol.Response
	reader   *sse.Reader
	order    sequence
	// resumed streams may stand behind the chunk with the usage.
	resumed bool
	usage   bool

	// body is read into again and again.
	body chunkBody
	// ready holds the chunks whose turn has come, in the memory of buffer.
	ready  []Chunk
	buffer []Chunk
	err    error
	// unwatch ends the watch over ctx; false if ctx ended first.
	unwatch   func() bool
	unblocked chan struct{}
}

func newHTTPStream(ctx context.Context, upstream, id string, from uint64, response *protocol.Response) (*httpStream, error) {
	reader, err := sse.NewReader(response)
	if err != nil {
		protocol.ReleaseResponse(response)
		return nil, result.New(result.UpstreamFailed, "%s sent no event stream: %v", upstream, err)
	}
	reader.SetMaxBufferSize(maxChunk)
	s := &httpStream{
		ctx: ctx, upstream: upstream, id: id, response: response, reader: reader,
		order: sequence{next: from}, resumed: from > 0, unblocked: make(chan struct{}),
	}
	// A caller who leaves must not wait for an engine that hangs.
	s.unwatch = context.AfterFunc(ctx, func() {
		s.disconnect()
		close(s.unblocked)
	})
	return s, nil
}

// forceCloser is the body of an answer whose connection can be closed under a read.
type forceCloser interface{ ForceClose() error }

// disconnect closes the connection: a read in progress returns.
func (s *httpStream) disconnect() {
	if body, ok := s.response.BodyStream().(forceCloser); ok {
		_ = body.ForceClose()
	}
}

// chunkReader reads chunks as the standard library would, but the texts within share one
// copy of the chunk.
var chunkReader = sonic.Config{ValidateString: true}.Froze()

// chunkBody is the part of a chunk that the router reads.
type chunkBody struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// clear makes the body ready for the next chunk; the choices keep their memory.
func (b *chunkBody) clear() {
	clear(b.Choices[:cap(b.Choices)])
	*b = chunkBody{Choices: b.Choices[:0]}
}

// Next implements ChatStream.
func (s *httpStream) Next() (Chunk, error) {
	for len(s.ready) == 0 && s.err == nil {
		s.err = s.step()
	}
	if s.ctx.Err() != nil {
		return Chunk{}, result.New(result.AnswerCut, "%s: the request was given up", s.upstream)
	}
	if len(s.ready) == 0 {
		return Chunk{}, s.err
	}
	chunk := s.ready[0]
	s.ready = s.ready[1:]
	if string(chunk.Data) == doneMarker {
		s.err = s.end()
		s.ready = nil
		return Chunk{}, s.err
	}
	s.usage = s.usage || chunk.Usage != nil
	return chunk, nil
}

// Close implements ChatStream. The connection of an answer that ended goes back to the
// pool once its last bytes are read, for which the caller doesn't wait. Any other one is
// closed: read to its end, it would be held for as long as the engine goes on.
func (s *httpStream) Close() {
	if !s.unwatch() {
		<-s.unblocked
	} else if s.err != io.EOF {
		s.disconnect()
	}
	go func() {
		defer protocol.ReleaseResponse(s.response)
		_ = s.reader.Close()
	}()
}

// step reads one event and passes on what is in order. An answer without usage or
// without its terminal marker is cut, and one with another id is crossed: neither
// may be passed on as whole, or a caller would act on half a summary or on somebody
// else's.
func (s *httpStream) step() error {
	var event sse.Event
	if err := s.reader.Read(&event); err != nil {
		return s.readError(err)
	}
	chunk, err := s.parse(event.Data)
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(event.ID, 10, 64)
	chunk.Number = number
	s.buffer, err = s.order.add(s.buffer[:0], chunk, err == nil)
	s.ready = s.buffer
	return err
}

// readError tells an engine that went silent from a stream that broke off: asked for
// the rest, a silent engine would make its caller wait as long once more.
func (s *httpStream) readError(err error) error {
	var timeout net.Error
	if errors.Is(err, hertzerrors.ErrTimeout) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return result.New(result.UpstreamSilent, "%s went silent within an answer", s.upstream)
	}
	return result.New(result.AnswerCut, "%s ended the stream early: %v", s.upstream, err)
}

func (s *httpStream) end() error {
	if !s.usage && !s.resumed {
		return result.New(result.AnswerCut, "%s reported no usage", s.upstream)
	}
	return io.EOF
}

func (s *httpStream) parse(data []byte) (Chunk, error) {
	if string(data) == doneMarker {
		return Chunk{Data: data}, nil
	}
	body := &s.body
	body.clear()
	if err := chunkReader.Unmarshal(data, body); err != nil {
		return Chunk{}, result.New(result.AnswerCut, "%s sent a broken chunk: %v", s.upstream, err)
	}
	if body.ID != s.id {
		return Chunk{}, result.New(result.AnswerCrossed, "%s answered for %q", s.upstream, body.ID)
	}
	chunk := Chunk{Data: data, Usage: body.Usage}
	if len(body.Choices) > 0 {
		chunk.Content = body.Choices[0].Delta.Content
		chunk.FinishReason = body.Choices[0].FinishReason
	}
	return chunk, nil
}
