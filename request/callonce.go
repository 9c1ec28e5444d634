package request

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	// TicketPurpose is the signing purpose of tickets.
	TicketPurpose = "call-ticket"
	// maxKeyLength is the maximum length of an idempotency key, in bytes.
	maxKeyLength = 255
)

// NewTicket issues a signed ticket to the account of key.
func (s *Server) NewTicket(key string) (text string, ticket *fleetv1.CallTicket, err error) {
	account, err := s.authenticate(s.Config(), key)
	if err != nil {
		return "", nil, s.recordRefusal("", err)
	}
	if s.Tickets == nil || s.Runner == nil {
		return "", nil, result.New(result.InternalError, "this node hands out no tickets")
	}
	if err := s.refuseNewTicketIfDraining(); err != nil {
		return "", nil, s.recordRefusal(account.GetName(), err)
	}
	ticket = s.Runner.NewTicket(account.GetName(), s.PeerAddress)
	return s.Tickets.Sign(ticket), ticket, nil
}

// forwardFunc forwards a call to the only incarnation that may run it.
type forwardFunc func(ctx context.Context, incarnation, address string) (idempotency.Response, error)

// callOnce runs a call that carries an idempotency key or a ticket.
func (s *Server) callOnce(ctx context.Context, p *preparedCall, forward forwardFunc) (upstream.CallResponse, error) {
	if err := s.validateKeyOrTicket(p.call); err != nil {
		return upstream.CallResponse{}, s.recordRefusal(p.account.GetName(), err)
	}
	run := func(ctx context.Context) (idempotency.Response, error) {
		ctx, done := s.untilNodeEnds(ctx)
		defer done()
		response, err := s.runCall(ctx, p)
		return idempotency.Response(response), err
	}
	var response idempotency.Response
	var err error
	if p.call.Ticket != "" {
		response, err = s.runWithTicket(ctx, p, run, forward)
	} else {
		response, err = s.runWithKey(ctx, p, run, forward)
	}
	return upstream.CallResponse(response), err
}

func (s *Server) validateKeyOrTicket(call ServiceCall) error {
	switch {
	case s.Runner == nil:
		return result.New(result.InternalError, "this node runs no named calls")
	case call.Ticket != "" && call.IdempotencyKey != "":
		return result.New(result.InvalidKey, "a call has a key or a ticket, not both")
	case len(call.IdempotencyKey) > maxKeyLength:
		return result.New(result.InvalidKey, "the key is longer than %d bytes", maxKeyLength)
	}
	for _, c := range []byte(call.IdempotencyKey) {
		if c < ' ' || c > '~' {
			return result.New(result.InvalidKey, "the key holds something else than printable ASCII")
		}
	}
	return nil
}

func (s *Server) runWithKey(ctx context.Context, p *preparedCall, run idempotency.RunFunc, forward forwardFunc) (idempotency.Response, error) {
	keyedCall := idempotency.Call{
		ID:     idempotency.ID{Account: p.account.GetName(), Key: p.call.IdempotencyKey},
		Digest: callDigest(p.call),
	}
	if err := s.refuseKeyIfDraining(ctx, keyedCall.ID, p.kind()); err != nil {
		return idempotency.Response{}, err
	}
	if forward == nil {
		return s.Runner.Do(ctx, keyedCall, run, nil)
	}
	return s.Runner.Do(ctx, keyedCall, run, func(ctx context.Context, owner string) (idempotency.Response, error) {
		return forward(ctx, owner, "")
	})
}

func (s *Server) runWithTicket(ctx context.Context, p *preparedCall, run idempotency.RunFunc, forward forwardFunc) (idempotency.Response, error) {
	ticket := &fleetv1.CallTicket{}
	if s.Tickets == nil || s.Tickets.Verify(p.call.Ticket, ticket) != nil || ticket.GetAccount() != p.account.GetName() {
		return idempotency.Response{}, result.New(result.InvalidTicket, "the ticket is not one of this account")
	}
	if forward == nil {
		return s.Runner.DoTicket(ctx, ticket, callDigest(p.call), run, nil)
	}
	return s.Runner.DoTicket(ctx, ticket, callDigest(p.call), run, func(ctx context.Context, owner string) (idempotency.Response, error) {
		return forward(ctx, owner, ticket.GetPeerAddress())
	})
}

// callDigest returns the digest of a call's content. Each part is prefixed with its length,
// so that different calls never hash the same input.
func callDigest(call ServiceCall) idempotency.Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Service), []byte(call.Path), call.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return idempotency.Digest(hash.Sum(nil))
}

// callForwarder returns the function that forwards a call to its owner; nil without peers.
func (s *Server) callForwarder(p *preparedCall) forwardFunc {
	if s.Peers == nil {
		return nil
	}
	return func(ctx context.Context, incarnation, address string) (idempotency.Response, error) {
		s.Events.Record(event.CallForwarded, "account", p.account.GetName(), "key", p.call.IdempotencyKey, "to", incarnation)
		response, err := s.Peers.Forward(ctx, incarnation, address, &fleetv1.CallForward{
			Account: p.account.GetName(), Service: p.call.Service, Method: p.call.Method, Path: p.call.Path,
			Headers: p.call.Headers, Body: p.call.Body, Key: p.call.IdempotencyKey, Ticket: p.call.Ticket,
		})
		return idempotency.Response(response), err
	}
}

// HandleForwarded runs a call that another node forwarded. That node has authenticated the
// caller.
func (s *Server) HandleForwarded(ctx context.Context, f *fleetv1.CallForward) (upstream.CallResponse, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, done := s.untilNodeEnds(ctx)
	defer done()
	view := s.Config()
	account := view.Account(f.GetAccount())
	if account == nil {
		return upstream.CallResponse{}, result.New(result.UnknownKey, "no account %q on this node yet", f.GetAccount()).WithMayHaveRun()
	}
	if f.GetService() == "" {
		return s.forwardedChat(ctx, account, f)
	}
	prepared, err := prepareCall(view, account, ServiceCall{
		Service: f.GetService(), Method: f.GetMethod(), Path: f.GetPath(), Headers: f.GetHeaders(), Body: f.GetBody(),
		IdempotencyKey: f.GetKey(), Ticket: f.GetTicket(),
	})
	if err != nil {
		return upstream.CallResponse{}, result.From(err).WithMayHaveRun()
	}
	return s.callOnce(ctx, prepared, nil)
}
