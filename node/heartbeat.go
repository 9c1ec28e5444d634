package node

import (
	"context"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
)

// sendHeartbeats renews the node's right to spend through the log. Each heartbeat waits for the
// verdict on the one before, so that an outage leaves one in the queue and not thousands.
func (n *Node) sendHeartbeats(ctx context.Context) {
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
			if !n.incarnationOpen(verdict) {
				n.handleClosed(ctx)
				return
			}
			// If the state was restored from a snapshot, the verdict on the first heartbeat
			// may be lost; the next heartbeat's verdict then lets the node serve.
			if !verdict.OK() {
				continue
			}
			// Measured from before the append: a node that closes this incarnation measures
			// from when it read the heartbeat, which is later.
			n.holder.ExtendRight(started.Add(n.settings.SpendRight))
			if !announced {
				n.events.Record(event.IncarnationOpened, "incarnation", n.Incarnation(), "offset", verdict.Offset)
				announced = true
			}
			n.startServing()
		}
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(n.heartbeatInterval()):
		}
	}
}

// startServing makes a starting node serve unless operators drained it. Once its first heartbeat
// is applied a node holds the configuration up to that offset.
func (n *Node) startServing() {
	if n.State() == StateStarting && !n.drainOrdered() {
		n.fire(triggerReady)
		n.members.Announce()
	}
}

// settlementEntries returns the settlements since the last batch, for the writer to append.
func (n *Node) settlementEntries() []*recordv1.Entry {
	batch := n.holder.TakeSettlements()
	if batch == nil {
		return nil
	}
	return []*recordv1.Entry{{Body: &recordv1.Entry_Settlements{Settlements: batch}}}
}
