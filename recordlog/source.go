package recordlog

import (
	"context"
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/snapshot"
)

// Slice is what one read from a source returned.
type Slice struct {
	ports.ReadResult
	// Age is how long ago the log itself last answered: 0 when the log was read,
	// more when the records came by way of other nodes.
	Age time.Duration
}

// Source is where records come from: the log, or another node that read it.
type Source interface {
	// Read returns up to max records from an offset on and waits up to wait for the
	// first one. It fails with ports.ErrAgedOut when from is no longer kept.
	Read(ctx context.Context, from uint64, max int, wait time.Duration) (Slice, error)
	// State returns a folded state that is ahead of an offset, for whoever finds
	// that the records it needs aged out.
	State(ctx context.Context, ahead uint64) (*recordv1.FoldState, error)
}

// LogSource is a stream of the platform's log as a Source.
type LogSource struct {
	log    ports.Log
	stream string
}

var _ Source = (*LogSource)(nil)

// NewLogSource returns a source that reads a stream.
func NewLogSource(log ports.Log, stream string) *LogSource {
	return &LogSource{log: log, stream: stream}
}

// Read implements Source.
func (s *LogSource) Read(ctx context.Context, from uint64, max int, wait time.Duration) (Slice, error) {
	slice, err := s.log.Read(ctx, s.stream, from, max, wait)
	return Slice{ReadResult: slice}, err
}

// State implements Source by the first usable snapshot in the log.
func (s *LogSource) State(ctx context.Context, ahead uint64) (*recordv1.FoldState, error) {
	return snapshot.Find(ctx, streamReader{s}, ahead)
}

// streamReader is a LogSource as snapshot.Find takes it.
type streamReader struct{ source *LogSource }

// Read implements snapshot.Reader.
func (r streamReader) Read(ctx context.Context, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	slice, err := r.source.Read(ctx, from, max, wait)
	return slice.ReadResult, err
}
