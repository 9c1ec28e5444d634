package request

import (
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/eventstream"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// chunksBesideTokens is how many chunks of an answer may bring no token: its role, its finish reason, its usage, and those
// that some engines send without text.
const chunksBesideTokens = 16

// answerSize counts the chunks of an answer against the most that its request allows.
type answerSize struct {
	chunks, bytes, maxChunks, maxBytes uint64
}

// newAnswerSize returns the count for an answer of at most the given number of tokens.
func newAnswerSize(tokens uint64) answerSize {
	return answerSize{maxChunks: tokens + chunksBesideTokens, maxBytes: eventstream.MaxBytes(tokens)}
}

// newServiceAnswerSize returns the count for the longest answer of a service, of which the given number of chunks has come.
func newServiceAnswerSize(service *operatorv1.Service, chunks uint64) answerSize {
	limit := uint64(service.GetMaxAnswerTokens())
	if limit == 0 {
		limit = defaultServiceAnswerLimit
	}
	size := newAnswerSize(limit)
	size.chunks = chunks
	return size
}

// add counts a chunk. It returns an error if the answer has become longer than its request allows.
func (a *answerSize) add(chunk upstream.Chunk) error {
	a.chunks++
	a.bytes += uint64(len(chunk.Data))
	if !a.isExceeded() {
		return nil
	}
	return result.New(result.AnswerCut, "%d chunks of %d bytes are more than the request allows", a.chunks, a.bytes)
}

func (a *answerSize) isExceeded() bool { return a.chunks > a.maxChunks || a.bytes > a.maxBytes }
