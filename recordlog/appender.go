package recordlog

import (
	"context"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/record"
)

// Appender appends a writer's batches to the log.
type Appender interface {
	// Append returns once a marshalled batch is in the log. After an error the batch may
	// be in the log or still reach it.
	Append(ctx context.Context, batch []byte) error
}

// LogAppender appends each batch as a record of its own.
type LogAppender struct {
	log              ports.Log
	stream           string
	packingSupported func() bool
}

var _ Appender = (*LogAppender)(nil)

// NewLogAppender returns an appender to a stream of the log. packingSupported reports whether
// every reader of the stream unpacks records; nil stands for no.
func NewLogAppender(log ports.Log, stream string, packingSupported func() bool) *LogAppender {
	return &LogAppender{log: log, stream: stream, packingSupported: packingSupported}
}

// Append implements Appender.
func (a *LogAppender) Append(ctx context.Context, batch []byte) error {
	if a.packingSupported != nil && a.packingSupported() {
		batch = record.Pack(batch)
	}
	_, err := a.log.Append(ctx, a.stream, batch)
	return errors.Trace(err)
}
