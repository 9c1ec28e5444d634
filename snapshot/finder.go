package snapshot

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/record"
)

const (
	maxFindRecords = 1000
	// pastEnd is an offset that no log reaches; reading there returns the oldest offset
	// kept.
	pastEnd = math.MaxInt64
)

// ErrNoSnapshot reports that the log holds no usable snapshot now.
var ErrNoSnapshot = errors.New("the log holds no usable snapshot")

// Reader reads records from the log.
type Reader interface {
	Read(ctx context.Context, from uint64, max int, wait time.Duration) (ports.ReadResult, error)
}

// Find reads the log from its oldest record and returns the state of the first usable
// snapshot beyond the offset after.
func Find(ctx context.Context, reader Reader, after uint64) (*recordv1.FoldState, error) {
	end, err := reader.Read(ctx, pastEnd, 1, 0)
	if err != nil {
		return nil, errors.Annotate(err, "reading the oldest offset")
	}
	collector := &Collector{}
	for from := end.Oldest; from < end.Next; {
		slice, err := reader.Read(ctx, from, maxFindRecords, 0)
		if errors.Is(err, ports.ErrAgedOut) {
			// Records aged out during the search; continue at the log's new start.
			if end, err = reader.Read(ctx, pastEnd, 1, 0); err == nil && end.Oldest > from {
				from, collector = end.Oldest, &Collector{}
				continue
			}
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(slice.Records) == 0 {
			break
		}
		if state := scanSlice(collector, slice, after); state != nil {
			return state, nil
		}
		from = slice.Records[len(slice.Records)-1].Offset + 1
	}
	return nil, errors.Trace(ErrNoSnapshot)
}

func scanSlice(collector *Collector, slice ports.ReadResult, after uint64) *recordv1.FoldState {
	for _, r := range slice.Records {
		batches, err := record.Decode(r.Data)
		if err != nil {
			continue
		}
		for _, batch := range batches {
			if state := scanBatch(collector, batch, slice.Oldest, after); state != nil {
				return state
			}
		}
	}
	return nil
}

func scanBatch(collector *Collector, batch *recordv1.Batch, oldest, after uint64) *recordv1.FoldState {
	for _, entry := range batch.GetEntries() {
		if entry.GetSnapshot() == nil {
			continue
		}
		if state := usableState(collector, batch.GetWriter(), entry.GetSnapshot(), oldest, after); state != nil {
			return state
		}
	}
	return nil
}

// usableState returns the state that a chunk completes, if all records after it are kept.
// A state that ends before the oldest record would leave a gap: this node alone would
// miss a change or a top-up.
func usableState(collector *Collector, writer string, chunk *recordv1.SnapshotChunk, oldest, after uint64) *recordv1.FoldState {
	sealed, complete := collector.Add(writer, chunk)
	if !complete || chunk.GetOffset() <= after || chunk.GetOffset()+1 < oldest {
		return nil
	}
	state, err := Open(sealed)
	if err != nil || state.GetOffset() != chunk.GetOffset() {
		return nil
	}
	return state
}
