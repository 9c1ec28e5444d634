package recordlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/record"
)

const (
	readMax  = 1000
	readWait = 500 * time.Millisecond
	// restoreTimeout bounds the search for a usable snapshot.
	restoreTimeout = time.Minute
	// neverRead is told as the time since the log last answered before it ever did.
	neverRead = 24 * time.Hour
)

// FoldedFunc is told of each batch after its record was folded, in offset order;
// batches of one record have its offset.
type FoldedFunc func(offset uint64, batch *recordv1.Batch, verdicts []fold.Verdict)

// RestoreFunc is told that the whole state was replaced by a later one.
type RestoreFunc func(offset uint64)

// Follower reads a source in offset order and folds it.
type Follower struct {
	source     Source
	clock      clockwork.Clock
	onFolded   []FoldedFunc
	onRestored []RestoreFunc
	recent     *RecentRecords

	// mu guards the engine: State is asked for while the follower folds.
	mu     sync.Mutex
	engine *fold.Engine

	offset   atomic.Uint64
	caughtUp atomic.Bool
	// lastRead is when the log last answered, in Unix nanoseconds of the clock.
	lastRead atomic.Int64
}

// NewFollower returns a follower of a stream of the log that starts where the
// engine stands.
func NewFollower(log ports.Log, stream string, clock clockwork.Clock, engine *fold.Engine, onFolded ...FoldedFunc) *Follower {
	return NewSourceFollower(NewLogSource(log, stream), clock, engine, onFolded...)
}

// NewSourceFollower returns a follower of a source that starts where the engine stands.
func NewSourceFollower(source Source, clock clockwork.Clock, engine *fold.Engine, onFolded ...FoldedFunc) *Follower {
	f := &Follower{source: source, clock: clock, engine: engine, onFolded: onFolded, recent: newRecent(engine.Offset() + 1)}
	f.offset.Store(engine.Offset())
	return f
}

// OnRestored registers a function that is told when the state was replaced by a
// snapshot. It must be called before Run.
func (f *Follower) OnRestored(told RestoreFunc) { f.onRestored = append(f.onRestored, told) }

// Offset returns the last offset folded.
func (f *Follower) Offset() uint64 { return f.offset.Load() }

// Recent returns the records folded last.
func (f *Follower) Recent() *RecentRecords { return f.recent }

// CaughtUp tells whether the follower has once reached the end of the stream.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// SinceRead returns how long ago the log last answered; a day before its first answer.
func (f *Follower) SinceRead() time.Duration {
	last := f.lastRead.Load()
	if last == 0 {
		return neverRead
	}
	return f.clock.Since(time.Unix(0, last))
}

// State returns the whole folded state.
func (f *Follower) State() (*recordv1.FoldState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.State()
}

// LastSeq returns the last sequence folded for a writer.
func (f *Follower) LastSeq(writer string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.LastSeq(writer)
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

// Step reads once and folds what came. When the records needed aged out, it
// restores a later state instead.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	attempt, cancel := clockwork.WithTimeout(ctx, f.clock, wait+appendTimeout)
	defer cancel()
	slice, err := f.source.Read(attempt, f.Offset()+1, readMax, wait)
	if errors.Is(err, ports.ErrAgedOut) {
		return f.restore(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	f.heard(slice.Age)
	for _, r := range slice.Records {
		f.fold(r)
	}
	if f.Offset()+1 >= slice.Next {
		f.caughtUp.Store(true)
	}
	return nil
}

// heard notes when the log last answered. News by way of other nodes can be older
// than what this node knows already.
func (f *Follower) heard(age time.Duration) {
	if age >= neverRead {
		return
	}
	at := f.clock.Now().Add(-age).UnixNano()
	f.lastRead.Store(max(f.lastRead.Load(), at))
}

func (f *Follower) restore(ctx context.Context) error {
	attempt, cancel := clockwork.WithTimeout(ctx, f.clock, restoreTimeout)
	defer cancel()
	state, err := f.source.State(attempt, f.Offset())
	if err != nil {
		return errors.Annotatef(err, "the records after offset %d aged out", f.Offset())
	}
	f.mu.Lock()
	err = f.engine.Restore(state)
	f.mu.Unlock()
	if err != nil {
		return errors.Trace(err)
	}
	f.offset.Store(state.GetOffset())
	f.recent.restart(state.GetOffset() + 1)
	for _, told := range f.onRestored {
		told(state.GetOffset())
	}
	return nil
}

// fold applies one record. One that can't be read is passed over by every
// node alike, so that one bad append can't stop the fleet.
func (f *Follower) fold(r ports.Record) {
	batches, err := record.Decode(r.Data)
	if err != nil {
		batches = []*recordv1.Batch{{}}
	}
	f.mu.Lock()
	known := r.Offset <= f.engine.Offset()
	verdicts := f.engine.ApplyRecord(r.Offset, batches)
	f.mu.Unlock()
	if known {
		return
	}
	f.offset.Store(r.Offset)
	f.recent.add(r)
	for i, batch := range batches {
		for _, told := range f.onFolded {
			told(r.Offset, batch, verdicts[i])
		}
	}
}
