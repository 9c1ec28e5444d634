package request

import (
	"cmp"
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/result"
)

// drainState is the state of a graceful shutdown. It is immutable.
type drainState struct {
	// start is the time from which the window's times are counted.
	start time.Time
	// window is nil if the shutdown has no deadline.
	window *drain.Window
	// refuseAll is set once the node accepts nothing more.
	refuseAll bool
}

// Drain makes the server accept only requests that end before the node does. addressesExpire is
// when callers no longer hold the node's address.
func (s *Server) Drain(addressesExpire, end time.Time) {
	now := s.Clock.Now()
	s.updateDrain(func(d *drainState) {
		d.start = now
		d.window = &drain.Window{AddressesExpire: addressesExpire.Sub(now), End: end.Sub(now)}
	})
}

// Refuse makes the server refuse every new request.
func (s *Server) Refuse() { s.updateDrain(func(d *drainState) { d.refuseAll = true }) }

// End refuses new requests and ends those that are open. A stream whose caller reads on through
// another node is left to the node that recovers this one's requests.
func (s *Server) End() {
	s.Refuse()
	s.ended.Store(true)
	s.open.Range(func(key, _ any) bool {
		key.(*openRequest).cancel(drain.ErrNodeEnds)
		return true
	})
}

func (s *Server) updateDrain(change func(*drainState)) {
	for {
		old := s.drainState.Load()
		updated := drainState{}
		if old != nil {
			updated = *old
		}
		change(&updated)
		if s.drainState.CompareAndSwap(old, &updated) {
			return
		}
	}
}

// nodeEndsError returns the error of a request that may have run when the node ended.
func nodeEndsError() *result.Error {
	return result.New(result.Draining, "%v", drain.ErrNodeEnds).WithRetryAfter(drain.RetryAfter).WithMayHaveRun()
}

// refuseIfDraining refuses a request of a kind that may outlast the node. The request ends at
// the deadline of ctx, if it has one.
func (s *Server) refuseIfDraining(ctx context.Context, kind string) error {
	return s.refuseUnlessEnds(ctx, s.durations.Usual(kind))
}

// refuseUnlessEnds refuses a request that may outlast the node, by how long such requests usually
// take; zero if that isn't known.
func (s *Server) refuseUnlessEnds(ctx context.Context, usual time.Duration) error {
	return s.refuseUnless(ctx, drain.Window.Accepts, usual)
}

// refuseOnceIfDraining refuses a call that may not be repeated, of a kind that may outlast the node.
func (s *Server) refuseOnceIfDraining(ctx context.Context, kind string) error {
	return s.refuseUnless(ctx, drain.Window.AcceptsOnce, s.durations.Usual(kind))
}

// windowRule is a method of drain.Window that tells whether to accept a request.
type windowRule func(w drain.Window, now, limit, usual time.Duration) bool

// refuseUnless refuses a request during a shutdown unless a rule accepts it.
func (s *Server) refuseUnless(ctx context.Context, accepts windowRule, usual time.Duration) error {
	d := s.drainState.Load()
	if d == nil || d.window == nil && !d.refuseAll {
		return nil
	}
	if d.refuseAll {
		return drain.Refusal()
	}
	limit := time.Duration(0)
	if deadline, limited := ctx.Deadline(); limited {
		limit = deadline.Sub(s.Clock.Now())
	}
	if !accepts(*d.window, s.Clock.Since(d.start), limit, usual) {
		return drain.Refusal()
	}
	return nil
}

// refuseTicketIfDraining refuses a call with a ticket that usually outlasts the node. As no other
// node may run it, it is accepted if nothing is known of its kind.
func (s *Server) refuseTicketIfDraining(kind string) error {
	d := s.drainState.Load()
	if d != nil && d.refuseAll {
		return drain.Refusal()
	}
	if left, draining := s.drainLeft(); draining && s.mayOutlast(kind, time.Time{}, left) {
		return drain.Refusal()
	}
	return nil
}

// refuseKeyIfDraining refuses a request with an idempotency key that this node doesn't hold yet,
// before the key is claimed. Such a request runs on when its caller leaves, so it has no limit,
// and no other node may run it then, so it is refused if nothing is known of its kind. An earlier
// try with the key may have run elsewhere.
func (s *Server) refuseKeyIfDraining(ctx context.Context, id idempotency.ID, kind string) error {
	if s.drainState.Load() == nil || s.Runner.Holds(id) {
		return nil
	}
	usual := cmp.Or(s.durations.Usual(kind), MaxTimeout)
	if err := s.refuseUnlessEnds(context.WithoutCancel(ctx), usual); err != nil {
		return s.recordRefusal(id.Account, result.From(err).WithMayHaveRun())
	}
	return nil
}

// refuseNewTicketIfDraining refuses to issue a ticket that may outlast the only node that may
// run its call.
func (s *Server) refuseNewTicketIfDraining() error {
	if d := s.drainState.Load(); d != nil && (d.refuseAll || d.window != nil) {
		return drain.Refusal()
	}
	return nil
}

// mayOutlast reports whether a request of a kind that is sent now usually takes longer than the
// node has left and doesn't end earlier at its deadline, which is zero if there is none.
func (s *Server) mayOutlast(kind string, deadline time.Time, left time.Duration) bool {
	if !deadline.IsZero() && deadline.Sub(s.Clock.Now()) <= left {
		return false
	}
	return s.durations.Usual(kind) >= left
}

// drainLeft returns the time until a draining node ends open requests.
func (s *Server) drainLeft() (left time.Duration, draining bool) {
	d := s.drainState.Load()
	if d == nil || d.window == nil {
		return 0, false
	}
	return d.window.Left(s.Clock.Since(d.start)), true
}

// recordDispatch records that a request was sent and, while the node drains, how much time the
// node has left.
func (s *Server) recordDispatch(request, upstream string, permit *quarantine.Permit) {
	fields := []any{"request", request, "upstream", upstream}
	if crashes := permit.Crashes(); crashes > 0 {
		fields = append(fields, "content", permit.Request(), "crashes", crashes)
	}
	if left, draining := s.drainLeft(); draining {
		fields = append(fields, "drain_left_ms", left.Milliseconds())
	}
	s.Events.Record(event.RequestDispatched, fields...)
}
