package ports

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrAgedOut tells that the offset asked for is older than the log keeps.
var ErrAgedOut = errors.New("the offset has aged out of the log")

// Record is one entry of a log stream. Offsets start at 1.
type Record struct {
	Offset uint64
	Data   []byte
}

// ReadResult is what one read returned.
type ReadResult struct {
	Records []Record
	// Oldest is the first offset still kept, Next the one that the next append gets.
	Oldest uint64
	Next   uint64
}

// Log is the platform's append-only log. It has outages, keeps records for a
// limited time and offers no conditional append.
type Log interface {
	// Append adds a record. After an error the record may still be in the log.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns up to max records from an offset on, and waits up to wait for
	// the first one. It fails with ErrAgedOut when from is no longer kept.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ReadResult, error)
}
