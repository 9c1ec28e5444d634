package upstream

import (
	"context"
	"io"
	"strconv"

	"github.com/bytedance/sonic"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"lavenderpin.dev/lavenderpin/result"
)

const (
	// doneMarker ends a whole answer.
	doneMarker = "[DONE]"
	// readAhead is how many chunks are read before the caller takes them.
	readAhead = 16
	// maxChunk bounds one line of an engine's stream, in bytes.
	maxChunk = 1 << 20
)

// httpStream reads an engine's event stream. One goroutine reads, so that a caller
// who leaves doesn't wait for an engine that hangs.
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

	// body is read into again and again; only the reading goroutine uses it.
	body chunkBody

	read   chan Chunk
	closed chan struct{}
	// err is set before read is closed.
	err error
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
		order: sequence{next: from}, resumed: from > 0,
		read: make(chan Chunk, readAhead), closed: make(chan struct{}),
	}
	go s.run()
	return s, nil
}

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
	select {
	case chunk, more := <-s.read:
		if !more {
			return Chunk{}, s.err
		}
		return chunk, nil
	case <-s.ctx.Done():
		return Chunk{}, result.New(result.AnswerCut, "%s: the request was given up", s.upstream)
	}
}

// Close implements ChatStream.
func (s *httpStream) Close() { close(s.closed) }

func (s *httpStream) run() {
	defer protocol.ReleaseResponse(s.response)
	defer func() { _ = s.reader.Close() }()
	defer close(s.read)
	for s.err == nil {
		s.err = s.step()
	}
}

// step reads one event and passes on what is in order. An answer without usage or
// without its terminal marker is cut, and one with another id is crossed: neither
// may be passed on as whole, or a caller would act on half a summary or on somebody
// else's.
func (s *httpStream) step() error {
	var event sse.Event
	if err := s.reader.Read(&event); err != nil {
		return result.New(result.AnswerCut, "%s ended the stream early: %v", s.upstream, err)
	}
	chunk, err := s.parse(event.Data)
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(event.ID, 10, 64)
	chunk.Number = number
	ready, err := s.order.add(chunk, err == nil)
	if err != nil {
		return err
	}
	return s.pass(ready)
}

func (s *httpStream) pass(ready []Chunk) error {
	for _, chunk := range ready {
		if string(chunk.Data) == doneMarker {
			return s.end()
		}
		s.usage = s.usage || chunk.Usage != nil
		if s.isClosed() {
			return io.ErrClosedPipe
		}
		select {
		case s.read <- chunk:
		case <-s.closed:
			return io.ErrClosedPipe
		}
	}
	return nil
}

func (s *httpStream) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
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
	if err := sonic.ConfigStd.Unmarshal(data, body); err != nil {
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
