package keyedlog

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrOffsetExpired tells that the records asked for aren't held any more.
	ErrOffsetExpired = errors.New("the log has forgotten these records")
	// ErrFenced tells that a writer with a higher epoch has taken over.
	ErrFenced = errors.New("a higher epoch has been seen")
)

// Record is one record of a key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's place in the log.
	Offset int64
	// Deleted tells that the key is gone; Value is empty.
	Deleted bool
}

// Fence refuses writers that were overtaken: an append fails with ErrFenced once the
// same producer has appended with a higher epoch. Each append uses a higher epoch than
// the one before, so that one which is executed late, after a newer one, is refused.
type Fence struct {
	Producer string
	Epoch    uint64
}

// Topic is one partition of a keyed topic.
type Topic interface {
	// Newest returns the newest record of each key and the offset to read on from. It is
	// called after losses, so it doesn't rely on connections made before. progress is called
	// whenever a part of the answer arrives.
	Newest(ctx context.Context, progress func()) ([]Record, int64, error)
	// Probe returns nil when the store answers for the topic now, over a new connection. It
	// asks for next to nothing.
	Probe(ctx context.Context) error
	// End returns the offset at which the log ends now. It asks for next to nothing.
	End(ctx context.Context) (int64, error)
	// Read returns the records from an offset on and the next offset. It waits up to
	// wait for the first one. It fails with ErrForgotten when from isn't held. progress is
	// called whenever a part of the answer arrives.
	Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]Record, int64, error)
	// Append adds records, all or none. After an error other than ErrFenced they may
	// still be added later.
	Append(ctx context.Context, fence Fence, records ...Record) error
}
