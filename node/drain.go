package node

import (
	"context"
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	drainPoll = 50 * time.Millisecond
	// unannouncedGrace is how long a node that missed the announcement of a drain may go on
	// handing out the address: until its own pings fail.
	unannouncedGrace = 4 * time.Second
	// addressGrace covers an address response, or a connection to an address, that is in
	// flight when the address lifetime ends.
	addressGrace   = 500 * time.Millisecond
	drainOrderPoll = 200 * time.Millisecond
)

// Drain stops the node gracefully: no node hands out its address any more, callers that still
// hold it are served, running requests finish and are settled, and the shares are released.
// It returns when all that is in the log, or when ctx is done. If ctx has a deadline, the node
// accepts only requests that end before it, and ends those that are open shortly before. Drain
// may be called concurrently; each call returns when the node has drained, and the earliest
// deadline counts.
func (n *Node) Drain(ctx context.Context) {
	n.boundDrain(ctx)
	if !n.drainStarted.CompareAndSwap(false, true) {
		awaitClosed(ctx, n.drained)
		return
	}
	n.drain(ctx)
	close(n.drained)
}

func (n *Node) drain(ctx context.Context) {
	n.fire(triggerDrain, n.drainFields()...)
	linger := n.settings.AddressLifetime + addressGrace
	if n.members.AnnounceDrain(ctx) > 0 {
		linger += unannouncedGrace
	}
	n.drainSchedule.setAddressesExpire(n.deps.Clock.Now().Add(linger))
	n.applyDrainWindow()
	n.pollUntil(ctx, n.endDue, linger)
	n.pollUntil(ctx, n.idleOrEndDue, 0)
	n.requests.Refuse()
	n.pollUntil(ctx, n.idleOrEndDue, 0) // a request may have arrived just before
	if n.endDue() && !n.idle() {
		n.requests.End()
		n.pollUntil(ctx, n.idleOrClosingDue, 0)
	}
	if n.ledger.IsOpen(n.Incarnation()) {
		n.closeIncarnation(ctx)
	}
	n.fire(triggerStop, "open", n.holder.OpenReservations())
}

func (n *Node) endDue() bool { return n.drainSchedule.endDue(n.deps.Clock.Now()) }

func (n *Node) idleOrEndDue() bool { return n.idle() || n.endDue() }

func (n *Node) idleOrClosingDue() bool {
	return n.idle() || n.drainSchedule.closingDue(n.deps.Clock.Now())
}

// boundDrain applies the deadline of ctx, if any, to the drain.
func (n *Node) boundDrain(ctx context.Context) {
	deadline, bounded := ctx.Deadline()
	now := n.deps.Clock.Now()
	if !bounded || !n.drainSchedule.bound(now, deadline) {
		return
	}
	if n.drainStarted.Load() {
		n.events.Record(event.NodeDraining, n.drainFields()...)
	} else {
		n.drainSchedule.setAddressesExpire(now.Add(n.settings.AddressLifetime + addressGrace + unannouncedGrace))
	}
	n.applyDrainWindow()
}

// applyDrainWindow makes the node refuse requests that a drain with a deadline would cut.
func (n *Node) applyDrainWindow() {
	if addressesExpire, end, bounded := n.drainSchedule.window(); bounded {
		n.requests.Drain(addressesExpire, end)
	}
}

// drainFields says when the node will end, unless the drain has no deadline.
func (n *Node) drainFields() []any {
	_, end, bounded := n.drainSchedule.window()
	if !bounded {
		return nil
	}
	return []any{"left_ms", end.Sub(n.deps.Clock.Now()).Milliseconds()}
}

// idle reports whether no request is running, for this node's callers or for its peers, and no
// connection is relayed for these.
func (n *Node) idle() bool {
	return n.requests.InFlight() == 0 && n.holder.OpenReservations() == 0 && (n.deps.Paths == nil || n.deps.Paths.RelayIdle())
}

// Drained returns a channel that is closed once the node has drained.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Leaving reports whether the node is draining or has stopped.
func (n *Node) Leaving() bool {
	state := n.State()
	return state == StateDraining || state == StateStopped
}

// followDrainOrders drains the node once the configuration orders it, and lets a node that
// started under such an order serve once the order is deleted.
func (n *Node) followDrainOrders(ctx context.Context) {
	ordered := false
	for ctx.Err() == nil {
		if now := n.drainOrdered(); now != ordered {
			ordered = now
			n.events.Record(event.DrainOrdered, "drain", ordered)
			n.applyDrainOrder(ctx, ordered)
		}
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(drainOrderPoll):
		}
	}
}

func (n *Node) applyDrainOrder(ctx context.Context, drain bool) {
	switch {
	case drain && n.State() == StateServing:
		go n.Drain(ctx)
	case !drain && n.ledger.IsOpen(n.Incarnation()):
		n.startServing()
	}
}

func (n *Node) drainOrdered() bool { return n.Config().IsDrained(n.info.GetPeerAddress()) }

// pollUntil polls until done returns true, limit has passed (0: no limit) or ctx is done.
func (n *Node) pollUntil(ctx context.Context, done func() bool, limit time.Duration) {
	started := n.deps.Clock.Now()
	for !done() && ctx.Err() == nil && (limit == 0 || n.deps.Clock.Since(started) < limit) {
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(drainPoll):
		}
	}
}

// closeIncarnation closes the node's own incarnation, which releases its shares. Its
// settlements are flushed first, in separate batches: within one batch, submitted entries
// precede the settlements added to it, and the close would void those.
func (n *Node) closeIncarnation(ctx context.Context) {
	n.leases.ReleaseAll()
	n.holder.RevokeRight()
	n.pollUntil(ctx, n.idleOrClosingDue, 0) // a peer may have reserved tokens just before
	if !n.flushAll(ctx) {
		return
	}
	_ = n.handOverWitnessed(ctx)
	if n.holder.OpenReservations() > 0 {
		return // others bill what is still open; the close would release it unbilled
	}
	_, _ = n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{
		Incarnation: n.Incarnation(), Reason: "stopped",
	}}}).Wait(ctx)
}

// errDrained returns the error of a node that started under an operator's drain order.
func errDrained() error {
	return result.New(result.NodeDrained, "operators drained this node").WithRetryAfter(time.Second)
}
