package idempotency

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// TicketLifetime is how long a ticket may be used, and how long the answer of its
// call is asked for.
const TicketLifetime = 10 * time.Minute

// NewTicket returns a ticket of this incarnation for an account. It costs neither
// memory nor a message: the node remembers a ticket from its first use on.
func (r *Runner) NewTicket(account, peerAddress string) *fleetv1.CallTicket {
	return &fleetv1.CallTicket{
		Incarnation: r.Incarnation, PeerAddress: peerAddress, Account: account, Number: rand.Uint64(),
		ExpiresMs: r.Clock.Now().Add(TicketLifetime).UnixMilli(),
	}
}

// DoTicket runs a call under a ticket, or returns what became of it. forward is nil
// when another node sent the call here.
//
// Only the incarnation that issued the ticket runs it. Were another to run it after
// that one's end, a call that the dead one had sent would run twice.
func (r *Runner) DoTicket(ctx context.Context, ticket *fleetv1.CallTicket, digest Digest, run RunFunc, forward ForwardFunc) (Response, error) {
	if ticket.GetIncarnation() != r.Incarnation {
		if forward == nil {
			return Response{}, unknownTicket()
		}
		return forward(ctx, ticket.GetIncarnation())
	}
	held, err := r.joinTicket(ticket, digest)
	if err != nil {
		return Response{}, err
	}
	answer, again, err := r.await(ctx, held, run)
	if again {
		// Nothing gives a ticket's call up. An answer made up here would tell a caller
		// that an order was filed which never ran.
		return Response{}, result.New(result.InternalError, "the ticket's call was given up")
	}
	return answer, err
}

func unknownTicket() error {
	return result.New(result.OutcomeUnknown, "the incarnation that issued the ticket is gone; if the call ran, it will not run again")
}

func (r *Runner) joinTicket(ticket *fleetv1.CallTicket, digest Digest) (*heldCall, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now().UnixMilli()
	r.forgetTickets(now)
	held := r.tickets[ticket.GetNumber()]
	switch {
	case held == nil && now >= ticket.GetExpiresMs():
		// Its use may be forgotten already, so nothing is said about a run.
		return nil, result.New(result.TicketExpired, "the ticket has expired; whether it was used is no longer known")
	case held == nil:
		id := ID{Account: ticket.GetAccount(), Key: strconv.FormatUint(ticket.GetNumber(), 10)}
		held = newTicketCall(Call{ID: id, Digest: digest}, ticket.GetExpiresMs())
		r.tickets[ticket.GetNumber()] = held
	case held.call.Digest != digest:
		return nil, result.New(result.KeyReused, "the ticket was used with another request")
	}
	held.waiters++
	return held, nil
}

func newTicketCall(call Call, expires int64) *heldCall {
	held := newHeldCall(call, free)
	held.expires = expires
	return held
}

func ticketNumber(held *heldCall) uint64 {
	number, _ := strconv.ParseUint(held.call.ID.Key, 10, 64)
	return number
}

// forgetTickets drops the ended calls of expired tickets, now and then.
func (r *Runner) forgetTickets(now int64) {
	if len(r.tickets) < r.prune {
		return
	}
	for number, held := range r.tickets {
		if held.phase == ended && held.expires <= now {
			delete(r.tickets, number)
		}
	}
	r.prune = max(minPrune, 2*len(r.tickets))
}

// minPrune is how many used tickets are held before any is looked at for dropping.
const minPrune = 1024
