package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/snapshot"
)

const (
	snapshotLease = "snapshot"
	snapshotPoll  = time.Second
)

// writeSnapshots writes the state again while this node holds the lease for it. Two
// that write at the same time, as when a holder was paused, do no harm: their chunks
// are told apart by their writers.
func (n *Node) writeSnapshots(ctx context.Context) {
	n.leases.Campaign(snapshotLease)
	periodic.Run(ctx, n.deps.Clock, snapshotPoll, func(ctx context.Context) {
		if _, held := n.leases.Held(snapshotLease); !held || !n.settings.SnapshotPolicy.Due(n.snapshots.Progress()) {
			return
		}
		if err := n.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			n.events.Record(event.SnapshotFailed, "why", err)
		}
	})
}

// writeSnapshot appends chunk after chunk and reads each back before the next, so
// that they stand in order. The first that fails ends it.
func (n *Node) writeSnapshot(ctx context.Context) error {
	state, err := n.follower.State()
	if err != nil {
		return errors.Trace(err)
	}
	sealed, err := snapshot.Seal(state)
	if err != nil {
		return errors.Trace(err)
	}
	chunks := snapshot.Split(state.GetOffset(), sealed)
	for _, chunk := range chunks {
		verdict, err := n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Snapshot{Snapshot: chunk}}).Wait(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		if err := verdict.Err(); err != nil {
			return errors.Trace(err)
		}
	}
	n.events.Record(event.SnapshotWritten, "offset", state.GetOffset(), "chunks", len(chunks), "bytes", len(sealed))
	return nil
}
