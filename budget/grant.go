package budget

import (
	"context"
	"sync/atomic"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

// Grant is a reservation that covers a request, wherever its tokens are held.
type Grant interface {
	Request() RequestID
	// Dispatch must be called right before the request is sent to an upstream. It
	// fails when the right to spend has lapsed since the reservation; nothing may
	// be sent then.
	Dispatch(ctx context.Context, upstream string) error
	// NotAfter returns when the right that covers the request ends, by the wall clock. It
	// goes with the request to the upstream: after Dispatch the node may be stopped for
	// any time before its bytes leave.
	NotAfter() time.Time
	// Progress notes the tokens delivered to the caller so far.
	Progress(delivered uint64)
	// Finish bills the tokens used and gives the rest back; only the first call counts.
	Finish(used uint64)
}

// Witness is told of requests, so that another node can settle them should this
// one die.
type Witness interface {
	// Tell returns once another node remembers the requests, or fails in bounded time.
	Tell(ctx context.Context, open ...*fleetv1.OpenRequest) error
	// Ended notes that a request is over and how much of it is billed.
	Ended(request string, used uint64)
}

// grant covers a request by a reservation of the node's own share, which may be
// empty but gives the id, and by parts that peers reserved. Tokens are billed in
// that order: each part pays what the request used beyond the parts ahead of it.
type grant struct {
	own       *Reservation
	parts     []*borrowedPart
	witness   Witness
	borrower  *Borrower
	told      atomic.Bool
	delivered atomic.Uint64
}

// Request implements Grant.
func (g *grant) Request() RequestID { return g.own.ID }

// Dispatch implements Grant. The right is checked after the witness has answered:
// checked before, a node paused in between would dispatch long after its close.
func (g *grant) Dispatch(ctx context.Context, upstream string) error {
	if err := g.checkRights(); err != nil {
		return err
	}
	if g.witness != nil {
		g.told.Store(true)
		if err := g.witness.Tell(ctx, g.openRequests(upstream)...); err != nil {
			return err
		}
	}
	return g.checkRights()
}

func (g *grant) checkRights() error {
	if err := g.own.holder.checkRight(); err != nil {
		return err
	}
	for _, part := range g.parts {
		if err := part.checkRight(); err != nil {
			return err
		}
	}
	return nil
}

// NotAfter implements Grant: the earliest end of the rights that cover the request.
func (g *grant) NotAfter() time.Time {
	holder := g.own.holder
	left := holder.RightRemaining()
	for _, part := range g.parts {
		left = min(left, part.right.left())
	}
	return holder.clock.Now().Add(left)
}

// openRequests lists the request under each id that it is billed under.
func (g *grant) openRequests(upstream string) []*fleetv1.OpenRequest {
	id := g.own.ID.String()
	all := []*fleetv1.OpenRequest{{
		Request: id, Budget: g.own.Budget, Reserved: g.own.Tokens, Upstream: upstream,
		Delivered: g.delivered.Load(), DispatchedAs: id,
	}}
	for _, part := range g.parts {
		all = append(all, &fleetv1.OpenRequest{
			Request: part.request, Budget: g.own.Budget, Reserved: part.tokens, Upstream: upstream,
			Before: part.before, DispatchedAs: id,
		})
	}
	return all
}

// Progress implements Grant.
func (g *grant) Progress(delivered uint64) { g.delivered.Store(delivered) }

// Finish implements Grant.
func (g *grant) Finish(used uint64) {
	if !g.own.finish(used) {
		return
	}
	for _, part := range g.parts {
		g.borrower.finish(part, shareOf(used, part.before, part.tokens))
	}
	if !g.told.Load() {
		return
	}
	g.witness.Ended(g.own.ID.String(), used)
	for _, part := range g.parts {
		g.witness.Ended(part.request, used)
	}
}

// shareOf returns what one part pays of a request: what was used beyond the parts
// ahead of it, at most what it reserved.
func shareOf(used, before, reserved uint64) uint64 {
	if used <= before {
		return 0
	}
	return min(used-before, reserved)
}

// BilledTokens returns what an open request under one id pays once the whole request
// used so many tokens.
func BilledTokens(open *fleetv1.OpenRequest, used uint64) uint64 {
	return shareOf(used, open.GetBefore(), open.GetReserved())
}
