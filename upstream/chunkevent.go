package upstream

import (
	"bytes"

	"lavenderpin.dev/lavenderpin/eventstream"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// messageType is the type of an event that names none.
	messageType = "message"
	// maxResponseEventBytes bounds, in bytes, the events of one response, those that are dropped included.
	maxResponseEventBytes = 64 << 20
)

// chunkEvent is an event of an engine's stream that may hold a chunk.
type chunkEvent struct {
	data []byte
	// number is the number of the chunk in the stream, if the engine numbers them.
	number   uint64
	numbered bool
}

// newChunkEvent returns an error unless a block of lines is an event with data, and without a number or with a proper one. The
// event holds no memory of the block.
func newChunkEvent(upstream string, block *eventstream.Event) (chunkEvent, error) {
	if reason := block.Defect(); reason != "" && reason != eventstream.NoID {
		return chunkEvent{}, invalidEvent(upstream, reason)
	}
	e := chunkEvent{number: uint64(block.ID), numbered: block.HasID}
	hasData := false
	for rest := block.Raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			} else {
				e.data = make([]byte, 0, len(value))
			}
			hasData = true
			e.data = append(e.data, value...)
		case "event":
			if string(value) != messageType {
				return chunkEvent{}, result.New(result.AnswerCut, "%s sent an event of type %q", upstream, value)
			}
		}
	}
	if !hasData {
		return chunkEvent{}, invalidEvent(upstream, eventstream.NoData)
	}
	return e, nil
}

func invalidEvent(upstream string, reason eventstream.Reason) error {
	return result.New(result.AnswerCut, "%s sent something that is no chunk (%s)", upstream, reason)
}
