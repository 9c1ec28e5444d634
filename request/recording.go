package request

import (
	"encoding/json"
	"sync"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// recording is a Sink that stores an answer for its caller's retries. The caller that started
// it reads it from a goroutine of its own, so that after the caller left, nothing is written
// to a connection that the server has reused for another request.
type recording struct {
	stream bool

	mu      sync.Mutex
	id      budget.RequestID
	model   string
	started bool
	chunks  []recordedChunk
	changed chan struct{}
}

type recordedChunk struct {
	cursor string
	upstream.Chunk
}

func newRecording(stream bool) *recording {
	return &recording{stream: stream, changed: make(chan struct{})}
}

// Start implements Sink.
func (r *recording) Start(id budget.RequestID, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.model, r.started = id, model, true
}

// Streams implements Sink.
func (r *recording) Streams() bool { return r.stream }

// Restart implements Sink.
func (r *recording) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = nil
}

// Chunk implements Sink.
func (r *recording) Chunk(cursor string, chunk upstream.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, recordedChunk{cursor, chunk})
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// chunksFrom returns the chunks from index n on, and a channel that is closed when a chunk
// is added.
func (r *recording) chunksFrom(n int) ([]recordedChunk, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chunks[min(n, len(r.chunks)):], r.changed
}

// savedAnswer is the encoding of a recorded answer for storage and for other nodes.
type savedAnswer struct {
	Request string       `json:"request"`
	Model   string       `json:"model"`
	Chunks  []savedChunk `json:"chunks"`
}

// savedChunk is an upstream.Chunk without its number, which its position gives.
type savedChunk struct {
	Data         []byte          `json:"data"`
	Content      string          `json:"content,omitempty"`
	FinishReason string          `json:"finish,omitempty"`
	Usage        *upstream.Usage `json:"usage,omitempty"`
}

func (r *recording) encode() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	saved := savedAnswer{Request: r.id.String(), Model: r.model}
	for _, c := range r.chunks {
		saved.Chunks = append(saved.Chunks, savedChunk{c.Data, c.Content, c.FinishReason, c.Usage})
	}
	return json.Marshal(saved)
}

// replay writes a saved answer to a sink. Its chunks carry no cursor: the complete answer
// arrives at once, and if it doesn't, the caller retries with its key.
func replay(data []byte, sink Sink) error {
	var saved savedAnswer
	if err := json.Unmarshal(data, &saved); err != nil {
		return err
	}
	id, _ := budget.ParseRequestID(saved.Request)
	sink.Start(id, saved.Model)
	for i, c := range saved.Chunks {
		chunk := upstream.Chunk{Number: uint64(i), Data: c.Data, Content: c.Content, FinishReason: c.FinishReason, Usage: c.Usage}
		if err := sink.Chunk("", chunk); err != nil {
			return result.New(result.CallerGone, "the caller left: %v", err)
		}
	}
	return nil
}
