package gather

import "time"

// queuedBatch is a batch in a gatherer's queue.
type queuedBatch struct {
	batch []byte
	// deadline is when the batch's writer stops waiting for the gatherer.
	deadline time.Time
	result   chan appendResult
}

// appendResult is the outcome of a queued batch.
type appendResult struct {
	offset uint64
	err    error
}
