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
	// unreachedMargin is how long a node that the announcement of a drain didn't
	// reach may go on handing the address out: until its own pings fail.
	unreachedMargin = 4 * time.Second
	// keptMargin covers an answer with addresses, or a connection to one, that is
	// on its way when the lifetime ends.
	keptMargin = 500 * time.Millisecond
	orderPoll  = 200 * time.Millisecond
)

// Drain stops gracefully: the node leaves the addresses everywhere, serves those who
// still hold its address, finishes what runs, settles and gives its shares back. It
// returns when all that is in the log, or when ctx ends. It may be called by several
// at once; each returns when the node has drained.
func (n *Node) Drain(ctx context.Context) {
	if !n.draining.CompareAndSwap(false, true) {
		await(ctx, n.drained)
		return
	}
	n.drain(ctx)
	close(n.drained)
}

func (n *Node) drain(ctx context.Context) {
	n.fire(triggerDrain)
	kept := n.settings.AddressLifetime + keptMargin
	if n.members.AnnounceDrain(ctx) > 0 {
		kept += unreachedMargin
	}
	n.wait(ctx, func() bool { return false }, kept)
	n.wait(ctx, n.idle, 0)
	if n.ledger.IsOpen(n.Incarnation()) {
		n.handBack(ctx)
	}
	n.fire(triggerStop)
}

// idle tells that nothing runs, for this node's callers or for its peers.
func (n *Node) idle() bool { return n.requests.InFlight() == 0 && n.holder.OpenReservations() == 0 }

// Drained is closed once the node has drained.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Leaving tells that the node drains or has ended.
func (n *Node) Leaving() bool {
	state := n.State()
	return state == StateDraining || state == StateStopped
}

// followDrainOrder drains the node once operators ask for it, and lets one that
// started under such an order serve once it is taken back.
func (n *Node) followDrainOrder(ctx context.Context) {
	ordered := false
	for ctx.Err() == nil {
		if now := n.drainOrdered(); now != ordered {
			ordered = now
			n.events.Record(event.DrainOrdered, "drain", ordered)
			n.obey(ctx, ordered)
		}
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(orderPoll):
		}
	}
}

func (n *Node) obey(ctx context.Context, drain bool) {
	switch {
	case drain && n.State() == StateServing:
		go n.Drain(ctx)
	case !drain && n.ledger.IsOpen(n.Incarnation()):
		n.ready()
	}
}

func (n *Node) drainOrdered() bool { return n.Config().IsDrained(n.info.GetPeerAddress()) }

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
	_ = n.passOnWitnessed(ctx)
	_, _ = n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{
		Incarnation: n.Incarnation(), Reason: "stopped",
	}}}).Wait(ctx)
}

// errDrained is what a node answers that started under an operator's drain.
func errDrained() error {
	return result.New(result.NodeDrained, "operators drained this node").WithRetryAfter(time.Second)
}
