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

// writeSnapshots writes snapshots of the state while this node holds the lease for that. Two
// nodes that write at the same time, for example after a holder was paused, do no harm: chunks
// are distinguished by their writers.
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

// writeSnapshot appends the chunks one by one and waits for each to be applied before the next,
// so that they are in order in the log. It stops at the first chunk that fails.
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
