package request

import (
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Start is told once, before the first chunk, under which id the request runs.
	Start(id budget.RequestID, model string)
	// Chunk passes one piece on; an error means that the caller has left.
	Chunk(chunk upstream.Chunk) error
}
