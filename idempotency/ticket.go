package idempotency

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// TicketLifetime is how long a ticket, and the response of its call, may be requested.
const TicketLifetime = 10 * time.Minute

// NewTicket issues a ticket of this incarnation to an account. It needs neither memory
// nor a message, since the node stores a ticket only from its first use on.
func (r *Runner) NewTicket(account, peerAddress string) *fleetv1.CallTicket {
	return &fleetv1.CallTicket{
		Incarnation: r.Incarnation, PeerAddress: peerAddress, Account: account, Number: rand.Uint64(),
		ExpiresMs: r.Clock.Now().Add(TicketLifetime).UnixMilli(),
	}
}

// DoTicket runs a call under a ticket, or returns its result. forward is nil if another
// node forwarded the call to this one.
//
// Only the incarnation that issued the ticket runs the call. If another one ran it after
// the issuer failed, a call that the issuer had already sent would run twice.
func (r *Runner) DoTicket(ctx context.Context, ticket *fleetv1.CallTicket, digest Digest, run RunFunc, forward ForwardFunc) (Response, error) {
	if ticket.GetIncarnation() != r.Incarnation {
		if forward == nil {
			return Response{}, unknownTicketError()
		}
		return forward(ctx, ticket.GetIncarnation())
	}
	entry, err := r.joinTicket(ticket, digest)
	if err != nil {
		return Response{}, err
	}
	response, retry, err := r.await(ctx, entry, run)
	if retry {
		// A ticket's call is never dropped. Returning an empty response here would report
		// success for a call that never ran.
		return Response{}, result.New(result.InternalError, "the ticket's call was given up")
	}
	return response, err
}

func unknownTicketError() error {
	return result.New(result.OutcomeUnknown, "the incarnation that issued the ticket is gone; if the call ran, it will not run again")
}

func (r *Runner) joinTicket(ticket *fleetv1.CallTicket, digest Digest) (*callEntry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now().UnixMilli()
	r.pruneTickets(now)
	entry := r.tickets[ticket.GetNumber()]
	switch {
	case entry == nil && now >= ticket.GetExpiresMs():
		// The ticket's use may have been pruned, so the code must not say "not run".
		return nil, result.New(result.TicketExpired, "the ticket has expired; whether it was used is no longer known")
	case entry == nil:
		id := ID{Account: ticket.GetAccount(), Key: strconv.FormatUint(ticket.GetNumber(), 10)}
		entry = newTicketEntry(Call{ID: id, Digest: digest}, ticket.GetExpiresMs())
		r.tickets[ticket.GetNumber()] = entry
	case entry.call.Digest != digest:
		return nil, result.New(result.KeyReused, "the ticket was used with another request")
	}
	entry.waiters++
	return entry, nil
}

func newTicketEntry(call Call, expiresMS int64) *callEntry {
	entry := newCallEntry(call, ready)
	entry.expiresMS = expiresMS
	return entry
}

func ticketNumber(entry *callEntry) uint64 {
	number, _ := strconv.ParseUint(entry.call.ID.Key, 10, 64)
	return number
}

// pruneTickets drops the finished calls of expired tickets once the map has doubled
// since the last pruning.
func (r *Runner) pruneTickets(now int64) {
	if len(r.tickets) < r.pruneThreshold {
		return
	}
	for number, entry := range r.tickets {
		if entry.phase == done && entry.expiresMS <= now {
			delete(r.tickets, number)
		}
	}
	r.pruneThreshold = max(minPruneThreshold, 2*len(r.tickets))
}

// minPruneThreshold is the number of used tickets below which none is pruned.
const minPruneThreshold = 1024
