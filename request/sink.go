package request

import (
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Sink receives an answer for the caller.
type Sink interface {
	// Start is called once, before the first chunk, with the request's id.
	Start(id budget.RequestID, model string)
	// Chunk writes one chunk, with the cursor that resumes after it; an error means that
	// the caller has left.
	Chunk(cursor string, chunk upstream.Chunk) error
	// Streams reports whether chunks reach the caller as they arrive.
	Streams() bool
	// Restart discards all chunks. It is called only if Streams returns false.
	Restart()
}
