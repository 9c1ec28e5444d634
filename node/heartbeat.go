package node

import (
	"context"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
)

// heartbeats renews the node's right to spend through the log. The next heartbeat
// waits for the verdict on the one before, so that an outage leaves one in the
// queue and not thousands.
func (n *Node) heartbeats(ctx context.Context) {
	announced := false
	for number := uint64(1); ctx.Err() == nil; number++ {
		started := n.deps.Clock.Now()
		ticket := n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{
			Node: n.info, Number: number, RightMs: uint64(n.settings.SpendRight.Milliseconds()),
			Draining: n.State() == StateDraining,
		}}})
		select {
		case <-ctx.Done():
			return
		case verdict := <-ticket.Done():
			if !n.opened(verdict) {
				n.close(ctx)
				return
			}
			// After a restored state the verdict on the first one may be lost; the
			// next one tells, and lets the node serve.
			if !verdict.OK() {
				continue
			}
			// Counted from before the append: whoever closes this incarnation
			// counts from when it read the heartbeat, which is later.
			n.holder.ExtendRight(started.Add(n.settings.SpendRight))
			if !announced {
				n.events.Record(event.IncarnationOpened, "incarnation", n.Incarnation(), "offset", verdict.Offset)
				announced = true
			}
			n.ready()
		}
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(n.heartbeatInterval()):
		}
	}
}

// ready lets the node serve, unless operators drained it: its first heartbeat is
// folded, so it holds the configuration up to there.
func (n *Node) ready() {
	if n.State() == StateStarting && !n.drainOrdered() {
		n.fire(triggerReady)
		n.members.AnnounceServing()
	}
}

// settlements contributes what was settled since the last batch.
func (n *Node) settlements() []*recordv1.Entry {
	batch := n.holder.TakeSettlements()
	if batch == nil {
		return nil
	}
	return []*recordv1.Entry{{Body: &recordv1.Entry_Settlements{Settlements: batch}}}
}
