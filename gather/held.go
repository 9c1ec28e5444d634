package gather

import "time"

// held is a batch that waits at a gatherer.
type held struct {
	batch []byte
	// until is when the batch's writer gives the gatherer up.
	until  time.Time
	answer chan answer
}

// answer is what became of a held batch.
type answer struct {
	offset uint64
	err    error
}
