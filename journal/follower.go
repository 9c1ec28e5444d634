package journal

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/platform"
)

const (
	readMax  = 1000
	readWait = time.Second
)

// FoldedFunc is told of each batch after it was folded, in offset order.
type FoldedFunc func(offset uint64, batch *recordv1.Batch, verdicts []fold.Verdict)

// Follower reads a stream in offset order and folds it.
type Follower struct {
	log      platform.Log
	stream   string
	clock    clockwork.Clock
	engine   *fold.Engine
	onFolded []FoldedFunc

	offset   atomic.Uint64
	caughtUp atomic.Bool
	// lastRead is when the log last answered, in Unix nanoseconds of the clock.
	lastRead atomic.Int64
}

// NewFollower returns a follower that starts where the engine stands.
func NewFollower(log platform.Log, stream string, clock clockwork.Clock, engine *fold.Engine, onFolded ...FoldedFunc) *Follower {
	f := &Follower{log: log, stream: stream, clock: clock, engine: engine, onFolded: onFolded}
	f.offset.Store(engine.Offset())
	return f
}

// Offset returns the last offset folded.
func (f *Follower) Offset() uint64 { return f.offset.Load() }

// CaughtUp tells whether the follower has once reached the end of the stream.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// SinceRead returns how long ago the log last answered; a day before its first answer.
func (f *Follower) SinceRead() time.Duration {
	last := f.lastRead.Load()
	if last == 0 {
		return 24 * time.Hour
	}
	return f.clock.Since(time.Unix(0, last))
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		if err := f.Step(ctx, readWait); err == nil {
			pause.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(pause.NextBackOff()):
		}
	}
}

// Step reads once and folds what came.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	attempt, cancel := clockwork.WithTimeout(ctx, f.clock, wait+appendTimeout)
	defer cancel()
	slice, err := f.log.Read(attempt, f.stream, f.engine.Offset()+1, readMax, wait)
	if err != nil {
		return errors.Trace(err)
	}
	f.lastRead.Store(f.clock.Now().UnixNano())
	for _, r := range slice.Records {
		f.fold(r)
	}
	if f.engine.Offset()+1 >= slice.Next {
		f.caughtUp.Store(true)
	}
	return nil
}

// fold applies one record. A record that isn't a batch is passed over by every
// node alike, so that one bad append can't stop the fleet.
func (f *Follower) fold(r platform.Record) {
	batch := &recordv1.Batch{}
	if err := proto.Unmarshal(r.Data, batch); err != nil {
		batch = &recordv1.Batch{}
	}
	verdicts := f.engine.Apply(r.Offset, batch)
	f.offset.Store(f.engine.Offset())
	for _, told := range f.onFolded {
		told(r.Offset, batch, verdicts)
	}
}
