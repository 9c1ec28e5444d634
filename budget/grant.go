package budget

import (
	"context"
	"sync/atomic"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

// Grant covers the worst case of one request, on whichever nodes its tokens are reserved.
type Grant interface {
	Request() RequestID
	// Dispatch must be called immediately before the request is sent to an upstream. If it
	// fails, for example because the right to spend has lapsed since the reservation, nothing
	// may be sent.
	Dispatch(ctx context.Context, upstream string) error
	// NotAfter returns the wall-clock time at which the right covering the request ends. It is
	// sent with the request to the upstream, because the process may be paused for any time
	// between Dispatch and the sending of the bytes.
	NotAfter() time.Time
	// Progress records the number of tokens delivered to the caller so far.
	Progress(delivered uint64)
	// Finish bills the tokens used and releases the rest; only the first call has an effect.
	Finish(used uint64)
}

// Witness records requests on another node, so that it can settle them if this node dies.
type Witness interface {
	// RecordOpen returns once another node has recorded the requests, or fails in bounded time.
	RecordOpen(ctx context.Context, open ...*fleetv1.OpenRequest) error
	// RecordEnded records that a request is over and how many tokens it used.
	RecordEnded(request string, used uint64)
}

// grant covers a request by a reservation from the node's own share, which may be of 0 tokens
// but provides the id, and by parts reserved on peers. Tokens are billed in that order: each
// part pays for the use that exceeds the parts before it.
type grant struct {
	own           *Reservation
	parts         []*borrowedPart
	witness       Witness
	borrower      *Borrower
	witnessCalled atomic.Bool
	delivered     atomic.Uint64
}

// Request implements Grant.
func (g *grant) Request() RequestID { return g.own.ID }

// Dispatch implements Grant. The right is checked again after the witness has answered: with
// only the earlier check, a node paused in between could dispatch long after its incarnation
// was closed.
func (g *grant) Dispatch(ctx context.Context, upstream string) error {
	if err := g.checkRights(); err != nil {
		return err
	}
	if g.witness != nil {
		g.witnessCalled.Store(true)
		if err := g.witness.RecordOpen(ctx, g.openRequests(upstream)...); err != nil {
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

// NotAfter implements Grant. It returns the earliest end of the rights that cover the request.
func (g *grant) NotAfter() time.Time {
	holder := g.own.holder
	remaining := holder.RightRemaining()
	for _, part := range g.parts {
		remaining = min(remaining, part.right.remaining())
	}
	return holder.clock.Now().Add(remaining)
}

// openRequests returns the request once for each id under which it is billed.
func (g *grant) openRequests(upstream string) []*fleetv1.OpenRequest {
	id := g.own.ID.String()
	all := []*fleetv1.OpenRequest{{
		Request: id, Budget: g.own.Budget, Reserved: g.own.Tokens, Upstream: upstream,
		Delivered: g.delivered.Load(), DispatchedAs: id,
	}}
	for _, part := range g.parts {
		all = append(all, &fleetv1.OpenRequest{
			Request: part.request, Budget: g.own.Budget, Reserved: part.tokens, Upstream: upstream,
			Before: part.tokensBefore, DispatchedAs: id,
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
		g.borrower.finish(part, billedTokens(used, part.tokensBefore, part.tokens))
	}
	if !g.witnessCalled.Load() {
		return
	}
	g.witness.RecordEnded(g.own.ID.String(), used)
	for _, part := range g.parts {
		g.witness.RecordEnded(part.request, used)
	}
}

// billedTokens returns the tokens billed to one part of a request: the use beyond the parts
// before it, at most what it reserved.
func billedTokens(used, tokensBefore, reserved uint64) uint64 {
	if used <= tokensBefore {
		return 0
	}
	return min(used-tokensBefore, reserved)
}

// BilledTokens returns the tokens billed to an open request under its id, given the tokens used
// by the whole request.
func BilledTokens(open *fleetv1.OpenRequest, used uint64) uint64 {
	return billedTokens(used, open.GetBefore(), open.GetReserved())
}
