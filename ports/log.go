package ports

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrAgedOut indicates that the requested offset is no longer retained by the log.
var ErrAgedOut = errors.New("offset has aged out of the log")

// Record is one entry of a log stream. Offsets start at 1.
type Record struct {
	Offset uint64
	Data   []byte
}

// ReadResult is the result of one read.
type ReadResult struct {
	Records []Record
	// Oldest is the first retained offset, Next the offset of the next append.
	Oldest uint64
	Next   uint64
}

// Log is the platform's append-only log. It may be unavailable, retains records for
// a limited time and doesn't support conditional appends.
type Log interface {
	// Append appends a record. After an error the record may still be in the log.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns up to max records starting at offset from, and waits up to wait for
	// the first one. It fails with ErrAgedOut if from is no longer retained.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ReadResult, error)
}
