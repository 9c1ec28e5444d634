package request

import (
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Start is told once, before the first chunk, under which id the request runs.
	Start(id budget.RequestID, model string)
	// Chunk passes one piece on, with the cursor of a caller that has it; an error
	// means that the caller has left.
	Chunk(cursor string, chunk upstream.Chunk) error
	// Streams tells whether chunks reach the caller as they come.
	Streams() bool
	// Restart drops all chunks taken. It is called only when Streams is false.
	Restart()
}
