package keyedlog

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrOffsetExpired is returned when the requested records are no longer retained.
	ErrOffsetExpired = errors.New("the offset is no longer retained")
	// ErrFenced is returned when a writer with a higher epoch has taken over.
	ErrFenced = errors.New("the producer is fenced by a higher epoch")
)

// Record is one version of a key's value, or its deletion.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's position in the log.
	Offset int64
	// Deleted is true if the key was deleted; Value is then empty.
	Deleted bool
}

// Fence rejects superseded writers: an append fails with ErrFenced once the same producer
// has appended with a higher epoch. Each append uses a higher epoch than the previous one,
// so that an append that executes late, after a newer one, is rejected.
type Fence struct {
	Producer string
	Epoch    uint64
}

// Topic is one partition of a keyed topic.
type Topic interface {
	// Newest returns the newest record of each key and the offset to continue from. It is
	// called after failures, so it doesn't reuse existing connections. progress is called
	// whenever a part of the response arrives.
	Newest(ctx context.Context, progress func()) ([]Record, int64, error)
	// Probe returns nil if the store currently answers for the topic over a new connection.
	// The request is cheap.
	Probe(ctx context.Context) error
	// End returns the offset at which the log currently ends. The request is cheap.
	End(ctx context.Context) (int64, error)
	// Read returns the records starting at an offset, and the next offset. It waits up to
	// wait for the first record. It fails with ErrOffsetExpired if from is no longer
	// retained. progress is called whenever a part of the response arrives.
	Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]Record, int64, error)
	// Append adds records atomically. After an error other than ErrFenced the records may
	// still be added later.
	Append(ctx context.Context, fence Fence, records ...Record) error
}
