package upstream

import (
	"bytes"
	"context"
	"io"
	"net"

	"github.com/bytedance/sonic"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/eventstream"
	"lavenderpin.dev/lavenderpin/result"
)

// doneMarker ends a complete response.
const doneMarker = "[DONE]"

// eventStreamType is the content type of streams.
const eventStreamType = "text/event-stream"

// httpStream reads an engine's event stream in the goroutine that calls Next. A reader
// goroutine would make each chunk wait for a second wake-up, which on a busy node is most of a
// chunk's delay.
type httpStream struct {
	ctx      context.Context
	upstream string
	id       string
	response *protocol.Response
	version  string
	reader   *eventstream.Reader
	// bytes counts what was read of the response.
	bytes   int
	reorder reorderBuffer
	order   ChunkOrder

	// body is reused for every chunk.
	body chunkBody
	// ready holds the chunks that are next in order, in the memory of buffer.
	ready  []Chunk
	buffer []Chunk
	err    error
	// stopWatching stops watching the caller's context.
	stopWatching func() (disconnected bool)
}

func newHTTPStream(ctx context.Context, upstream, id string, from uint64, response *protocol.Response) (*httpStream, error) {
	if contentType := response.Header.ContentType(); !bytes.HasPrefix(contentType, []byte(eventStreamType)) {
		err := result.New(result.UpstreamFailed, "%s sent no event stream but %q", upstream, contentType)
		discard(ctx, response)
		return nil, err
	}
	body := response.BodyStream()
	if !response.IsBodyStream() {
		body = bytes.NewReader(response.Body())
	}
	s := &httpStream{
		ctx: ctx, upstream: upstream, id: id, response: response, reader: eventstream.NewReader(body), version: response.Header.Get(HeaderVersion),
		reorder: reorderBuffer{next: from, resumed: from > 0},
	}
	// A caller that disconnects must not wait for an engine that hangs.
	s.stopWatching = disconnectAfter(ctx, response)
	return s, nil
}

// forceCloser is a response body whose connection can be closed during a read.
type forceCloser interface{ ForceClose() error }

// disconnectAfter closes the connection of a response when ctx ends. stop ends that and reports whether it has happened; it
// may be called once.
func disconnectAfter(ctx context.Context, response *protocol.Response) (stop func() (disconnected bool)) {
	done := make(chan struct{})
	stopWatching := context.AfterFunc(ctx, func() {
		disconnect(response)
		close(done)
	})
	return func() bool {
		if stopWatching() {
			return false
		}
		<-done // the response must not be released before
		return true
	}
}

// disconnect closes the connection of a response, which makes a read in progress return.
func disconnect(response *protocol.Response) {
	if body, ok := response.BodyStream().(forceCloser); ok {
		_ = body.ForceClose()
	}
}

// chunkDecoder decodes chunks like the standard library, except that the strings share one copy
// of the chunk.
var chunkDecoder = sonic.Config{ValidateString: true}.Froze()

// chunkBody holds the fields of a chunk that the router reads.
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

// clear prepares the body for the next chunk and keeps the memory of the choices.
func (b *chunkBody) clear() {
	clear(b.Choices[:cap(b.Choices)])
	*b = chunkBody{Choices: b.Choices[:0]}
}

// Next implements ChatStream.
func (s *httpStream) Next() (Chunk, error) {
	for len(s.ready) == 0 && s.err == nil {
		s.err = s.readEvent()
	}
	if s.ctx.Err() != nil {
		return Chunk{}, result.New(result.AnswerCut, "%s: the request was given up", s.upstream)
	}
	if len(s.ready) == 0 {
		return Chunk{}, s.err
	}
	chunk := s.ready[0]
	s.ready = s.ready[1:]
	if chunk.isEnd() {
		s.err = s.finish()
		s.ready = nil
		return Chunk{}, s.err
	}
	if err := s.order.Add(chunk); err != nil {
		s.err, s.ready = err, nil
		return Chunk{}, s.err
	}
	return chunk, nil
}

// Version implements ChatStream.
func (s *httpStream) Version() string { return s.version }

// Close implements ChatStream. The connection of a complete response returns to the pool once
// its last bytes are read, which the caller doesn't wait for. Any other connection is closed:
// draining it would hold it for as long as the engine keeps generating.
func (s *httpStream) Close() {
	if !s.stopWatching() && s.err != io.EOF {
		disconnect(s.response)
	}
	go discard(context.Background(), s.response) // the caller may have left after the end
}

// readEvent reads one event and makes available the chunks that are in order. A response
// without usage or without its terminal marker is truncated, and one with another ID belongs to
// another request: neither may be passed on as complete, or a caller would act on half a
// summary or on somebody else's.
func (s *httpStream) readEvent() error {
	block, err := s.reader.Next()
	if err != nil {
		return s.readError(err)
	}
	if s.bytes += len(block.Raw); s.bytes > maxResponseEventBytes {
		return invalidEvent(s.upstream, eventstream.TooLong)
	}
	if block.IsBlank() {
		return nil
	}
	e, err := newChunkEvent(s.upstream, &block)
	if err != nil {
		return err
	}
	chunk, err := s.parseChunk(e.data)
	if err != nil {
		return err
	}
	chunk.Number = e.number
	s.buffer, err = s.reorder.add(s.buffer[:0], chunk, e.numbered)
	s.ready = s.buffer
	return err
}

// readError distinguishes an engine that stopped sending from a stream that broke off: if the
// rest were requested from a silent engine, the caller would wait for just as long again.
func (s *httpStream) readError(err error) error {
	var timeout net.Error
	if errors.Is(err, hertzerrors.ErrTimeout) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return result.New(result.UpstreamSilent, "%s went silent within an answer", s.upstream).WithConnectionLost()
	}
	if errors.Is(err, eventstream.ErrTooLong) {
		return invalidEvent(s.upstream, eventstream.TooLong)
	}
	return result.New(result.AnswerCut, "%s ended the stream early: %v", s.upstream, err).WithConnectionLost()
}

// finish returns io.EOF if the terminal marker ends a complete response. A resumed one may begin behind the chunk with the usage.
func (s *httpStream) finish() error {
	if len(s.ready) > 0 || len(s.reorder.pending) > 0 {
		return result.New(result.AnswerCut, "%s sent chunks with numbers behind the end", s.upstream)
	}
	if !s.reorder.resumed {
		if err := s.order.Complete(); err != nil {
			return err
		}
	}
	return io.EOF
}

func (s *httpStream) parseChunk(data []byte) (Chunk, error) {
	if string(data) == doneMarker {
		return Chunk{Data: data}, nil
	}
	body := &s.body
	body.clear()
	if err := chunkDecoder.Unmarshal(data, body); err != nil {
		return Chunk{}, result.New(result.AnswerCut, "%s sent a broken chunk: %v", s.upstream, err)
	}
	if body.ID != s.id {
		return Chunk{}, result.New(result.AnswerCrossed, "%s answered for %q", s.upstream, body.ID)
	}
	chunk := Chunk{Data: data, Usage: body.Usage, hasChoices: len(body.Choices) > 0}
	switch {
	case len(body.Choices) > 1: // requests ask for one answer
		return Chunk{}, result.New(result.AnswerCut, "%s sent a chunk of %d answers", s.upstream, len(body.Choices))
	case !chunk.hasChoices && chunk.Usage == nil:
		return Chunk{}, result.New(result.AnswerCut, "%s sent a chunk with neither an answer nor usage", s.upstream)
	case chunk.hasChoices:
		chunk.Content = body.Choices[0].Delta.Content
		chunk.FinishReason = body.Choices[0].FinishReason
	}
	return chunk, nil
}
