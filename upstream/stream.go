package upstream

import (
	"encoding/json"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"lavenderpin.dev/lavenderpin/result"
)

// doneMarker ends a whole answer.
const doneMarker = "[DONE]"

// httpStream reads an engine's event stream.
type httpStream struct {
	upstream string
	id       string
	response *protocol.Response
	reader   *sse.Reader
	event    sse.Event
	usage    bool
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

// Next implements ChatStream. An answer without usage or without its terminal
// marker is cut, and one with another id is crossed: neither may be passed on as
// whole, or a caller would act on half a summary or on somebody else's.
func (s *httpStream) Next() (Chunk, error) {
	s.event.Reset()
	if err := s.reader.Read(&s.event); err != nil {
		return Chunk{}, result.New(result.AnswerCut, "%s ended the stream early: %v", s.upstream, err)
	}
	if string(s.event.Data) == doneMarker {
		if !s.usage {
			return Chunk{}, result.New(result.AnswerCut, "%s reported no usage", s.upstream)
		}
		return Chunk{}, io.EOF
	}
	return s.parse(append([]byte(nil), s.event.Data...))
}

func (s *httpStream) parse(data []byte) (Chunk, error) {
	var body chunkBody
	if err := json.Unmarshal(data, &body); err != nil {
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
	s.usage = s.usage || body.Usage != nil
	return chunk, nil
}

// Close implements ChatStream.
func (s *httpStream) Close() {
	_ = s.reader.Close()
	protocol.ReleaseResponse(s.response)
}
