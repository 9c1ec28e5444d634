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
	findMax = 1000
	// beyondEnd is an offset that no log reaches; reading there tells the oldest
	// record kept.
	beyondEnd = math.MaxInt64
)

// ErrNoSnapshot tells that the log holds no usable snapshot now.
var ErrNoSnapshot = errors.New("the log holds no usable snapshot")

// Reader reads records; recordlog.Source is one.
type Reader interface {
	Read(ctx context.Context, from uint64, max int, wait time.Duration) (ports.ReadResult, error)
}

// Find reads the log from its oldest record and returns the first usable snapshot
// that is ahead of an offset.
func Find(ctx context.Context, reader Reader, ahead uint64) (*recordv1.FoldState, error) {
	end, err := reader.Read(ctx, beyondEnd, 1, 0)
	if err != nil {
		return nil, errors.Annotate(err, "oldest offset")
	}
	collector := &Collector{}
	for from := end.Oldest; from < end.Next; {
		slice, err := reader.Read(ctx, from, findMax, 0)
		if errors.Is(err, ports.ErrAgedOut) {
			// Records age out while this reads; go on from where the log begins now.
			if end, err = reader.Read(ctx, beyondEnd, 1, 0); err == nil && end.Oldest > from {
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
		if state := scan(collector, slice, ahead); state != nil {
			return state, nil
		}
		from = slice.Records[len(slice.Records)-1].Offset + 1
	}
	return nil, errors.Trace(ErrNoSnapshot)
}

func scan(collector *Collector, slice ports.ReadResult, ahead uint64) *recordv1.FoldState {
	for _, held := range slice.Records {
		batches, err := record.Decode(held.Data)
		if err != nil {
			continue
		}
		for _, batch := range batches {
			if state := scanBatch(collector, batch, slice.Oldest, ahead); state != nil {
				return state
			}
		}
	}
	return nil
}

func scanBatch(collector *Collector, batch *recordv1.Batch, oldest, ahead uint64) *recordv1.FoldState {
	for _, entry := range batch.GetEntries() {
		if entry.GetSnapshot() == nil {
			continue
		}
		if state := usable(collector, batch.GetWriter(), entry.GetSnapshot(), oldest, ahead); state != nil {
			return state
		}
	}
	return nil
}

// usable returns the state that a chunk completes, if all records after it are kept.
// One that ends before the oldest record would leave a gap in what is folded, which
// would show as a change or a top-up that this node alone never heard of.
func usable(c *Collector, writer string, chunk *recordv1.SnapshotChunk, oldest, ahead uint64) *recordv1.FoldState {
	sealed, complete := c.Add(writer, chunk)
	if !complete || chunk.GetOffset() <= ahead || chunk.GetOffset()+1 < oldest {
		return nil
	}
	state, err := Open(sealed)
	if err != nil || state.GetOffset() != chunk.GetOffset() {
		return nil
	}
	return state
}
