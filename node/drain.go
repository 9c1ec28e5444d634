package node

import (
	"context"
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const drainPoll = 50 * time.Millisecond

// Drain stops gracefully: the node is no longer handed out, serves those who still
// hold its address, finishes what runs, settles and gives its shares back. It
// returns when all that is in the log, or when ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.fire(triggerDrain)
	n.wait(ctx, func() bool { return false }, n.settings.AddressLifetime)
	n.wait(ctx, func() bool { return n.requests.InFlight() == 0 && n.holder.Open() == 0 }, 0)
	n.handBack(ctx)
	n.fire(triggerStop)
}

// wait polls until done, until limit has passed (0: no limit) or ctx ends.
func (n *Node) wait(ctx context.Context, done func() bool, limit time.Duration) {
	started := n.deps.Clock.Now()
	for !done() && ctx.Err() == nil && (limit == 0 || n.deps.Clock.Since(started) < limit) {
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(drainPoll):
		}
	}
}

// handBack closes the node's own incarnation, which releases its shares. All that
// it settled goes ahead, in batches of their own: entries of one batch come in front
// of the settlements that join it, and the close would void those.
func (n *Node) handBack(ctx context.Context) {
	n.leases.ReleaseAll()
	n.holder.RevokeRight()
	if !n.flushAll(ctx) {
		return
	}
	n.passOnWitnessed(ctx)
	_, _ = n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{
		Incarnation: n.Incarnation(), Reason: "stopped",
	}}}).Wait(ctx)
}
