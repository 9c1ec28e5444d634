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
	maxReadRecords = 1000
	readWait       = 500 * time.Millisecond
	// restoreTimeout bounds the search for a usable snapshot.
	restoreTimeout = time.Minute
	// neverRead is what SinceRead returns before the log answered for the first time.
	neverRead = 24 * time.Hour
)

// FoldedFunc is called for each batch after its record was applied, in offset order;
// all batches of a record have its offset.
type FoldedFunc func(offset uint64, batch *recordv1.Batch, verdicts []fold.Verdict)

// RestoreFunc is called after the whole state was replaced by a later one.
type RestoreFunc func(offset uint64)

// Follower reads a source in offset order and applies its records to a fold.Engine.
type Follower struct {
	source     Source
	clock      clockwork.Clock
	onFolded   []FoldedFunc
	onRestored []RestoreFunc
	recent     *RecentRecords

	// mu guards the engine: State may be called while the follower applies records.
	mu     sync.Mutex
	engine *fold.Engine

	offset   atomic.Uint64
	caughtUp atomic.Bool
	// lastRead is when the log last answered, in Unix nanoseconds of the clock.
	lastRead atomic.Int64
}

// NewFollower returns a follower of a stream of the log that starts after the engine's
// offset.
func NewFollower(log ports.Log, stream string, clock clockwork.Clock, engine *fold.Engine, onFolded ...FoldedFunc) *Follower {
	return NewSourceFollower(NewLogSource(log, stream), clock, engine, onFolded...)
}

// NewSourceFollower returns a follower of a source that starts after the engine's offset.
func NewSourceFollower(source Source, clock clockwork.Clock, engine *fold.Engine, onFolded ...FoldedFunc) *Follower {
	f := &Follower{source: source, clock: clock, engine: engine, onFolded: onFolded, recent: newRecent(engine.Offset() + 1)}
	f.offset.Store(engine.Offset())
	return f
}

// OnRestored registers a function to call after the state was replaced by a later one.
// It must be called before Run.
func (f *Follower) OnRestored(fn RestoreFunc) { f.onRestored = append(f.onRestored, fn) }

// Offset returns the last offset applied.
func (f *Follower) Offset() uint64 { return f.offset.Load() }

// Recent returns the records applied last.
func (f *Follower) Recent() *RecentRecords { return f.recent }

// CaughtUp reports whether the follower has ever reached the end of the stream.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// SinceRead returns how long ago the log last answered; 24 hours before its first answer.
func (f *Follower) SinceRead() time.Duration {
	last := f.lastRead.Load()
	if last == 0 {
		return neverRead
	}
	return f.clock.Since(time.Unix(0, last))
}

// State returns the whole state.
func (f *Follower) State() (*recordv1.FoldState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.State()
}

// LastSeq returns the last sequence number applied for a writer.
func (f *Follower) LastSeq(writer string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.LastSeq(writer)
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		if err := f.Step(ctx, readWait); err == nil {
			retry.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(retry.NextBackOff()):
		}
	}
}

// Step reads once and applies the records. When the records that it needs aged out, it
// restores a later state instead.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	readCtx, cancel := clockwork.WithTimeout(ctx, f.clock, wait+appendTimeout)
	defer cancel()
	slice, err := f.source.Read(readCtx, f.Offset()+1, maxReadRecords, wait)
	if errors.Is(err, ports.ErrAgedOut) {
		return f.restore(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	f.noteLogAnswer(slice.Age)
	for _, r := range slice.Records {
		f.applyRecord(r)
	}
	if f.Offset()+1 >= slice.Next {
		f.caughtUp.Store(true)
	}
	return nil
}

// noteLogAnswer updates when the log last answered. An age reported by another node can
// be older than what this node already knows.
func (f *Follower) noteLogAnswer(age time.Duration) {
	if age >= neverRead {
		return
	}
	at := f.clock.Now().Add(-age).UnixNano()
	f.lastRead.Store(max(f.lastRead.Load(), at))
}

func (f *Follower) restore(ctx context.Context) error {
	restoreCtx, cancel := clockwork.WithTimeout(ctx, f.clock, restoreTimeout)
	defer cancel()
	state, err := f.source.State(restoreCtx, f.Offset())
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
	f.recent.reset(state.GetOffset() + 1)
	for _, fn := range f.onRestored {
		fn(state.GetOffset())
	}
	return nil
}

// applyRecord applies one record. Every node skips an undecodable record in the same way,
// so that one bad append can't stop the fleet.
func (f *Follower) applyRecord(r ports.Record) {
	batches, err := record.Decode(r.Data)
	if err != nil {
		batches = []*recordv1.Batch{{}}
	}
	f.mu.Lock()
	duplicate := r.Offset <= f.engine.Offset()
	verdicts := f.engine.ApplyRecord(r.Offset, batches)
	f.mu.Unlock()
	if duplicate {
		return
	}
	f.offset.Store(r.Offset)
	f.recent.add(r)
	for i, batch := range batches {
		for _, fn := range f.onFolded {
			fn(r.Offset, batch, verdicts[i])
		}
	}
}
