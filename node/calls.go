package node

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	// forwardTimeout bounds a forwarded call. It is longer than the time after which the node
	// that runs the call gives up on a silent upstream.
	forwardTimeout    = 40 * time.Second
	moveStreamTimeout = 2 * time.Second
	forwardRetryAfter = time.Second
)

// requestPeers implements request.Peers: it sends peer requests on behalf of callers' requests.
type requestPeers struct{ node *Node }

var _ request.Peers = requestPeers{}

// newRunner returns the runner for plain service calls with an idempotency key or a ticket.
func (n *Node) newRunner() *idempotency.Runner {
	return idempotency.NewRunner(idempotency.Options{
		Incarnation: n.Incarnation(), Claims: n.claims, Log: n.writer, IsOpen: n.ledger.IsOpen,
		Clock: n.deps.Clock, Events: n.events,
	})
}

// Forward implements request.Peers.
func (p requestPeers) Forward(ctx context.Context, incarnation, address string, call *fleetv1.CallForward) (upstream.CallResponse, error) {
	n := p.node
	if address == "" {
		address = n.ledger.Incarnations()[incarnation].Node.GetPeerAddress()
	}
	ctx, cancel := clockwork.WithTimeout(ctx, n.deps.Clock, forwardTimeout)
	defer cancel()
	response, err := n.deps.Peers.Call(ctx, address, &fleetv1.Request{
		From: n.Incarnation(), Hlc: uint64(n.events.Clock().Now()),
		Body: &fleetv1.Request_CallForward{CallForward: call},
	})
	if err != nil {
		return upstream.CallResponse{}, p.unreachableError(incarnation)
	}
	n.events.Clock().Observe(event.Timestamp(response.GetHlc()))
	return forwardedResponse(response)
}

// unreachableError returns the error for a node that may have run a call and doesn't respond.
// While its incarnation is open the caller should retry; after that the outcome stays unknown.
func (p requestPeers) unreachableError(incarnation string) error {
	if p.node.ledger.IsOpen(incarnation) {
		return result.New(result.PeerUnreachable, "the node that owns the call doesn't answer").WithRetryAfter(forwardRetryAfter)
	}
	return result.New(result.OutcomeUnknown, "the node that may have run the call is gone; it will not be run again")
}

func forwardedResponse(response *fleetv1.Response) (upstream.CallResponse, error) {
	forwarded := response.GetCallForwarded()
	if code := result.Code(response.GetCode()); code != result.OK {
		err := result.New(code, "%s", response.GetMessage())
		if code.Info().Retry {
			err = err.WithRetryAfter(forwardRetryAfter)
		}
		if forwarded.GetRan() {
			err = err.WithMayHaveRun()
		}
		return upstream.CallResponse{}, err
	}
	return upstream.CallResponse{
		Status: int(forwarded.GetStatus()), ContentType: forwarded.GetHeaders()[contentType], Body: forwarded.GetBody(),
	}, nil
}

const contentType = "Content-Type"

// handleCallForward runs a call that another node forwarded.
func (n *Node) handleCallForward(ctx context.Context, call *fleetv1.CallForward) *fleetv1.Response {
	err := n.Serving()
	var callResponse upstream.CallResponse
	if err == nil {
		callResponse, err = n.requests.HandleForwarded(ctx, call)
	} else {
		err = n.requests.RecordRefusal(result.From(err).WithMayHaveRun())
	}
	if err != nil {
		failure := result.From(err)
		return &fleetv1.Response{Code: uint32(failure.Code), Message: failure.Message,
			Body: &fleetv1.Response_CallForwarded{CallForwarded: &fleetv1.CallForwarded{Ran: !failure.NotRun()}}}
	}
	return &fleetv1.Response{Body: &fleetv1.Response_CallForwarded{CallForwarded: &fleetv1.CallForwarded{
		Status: uint32(callResponse.Status), Headers: map[string]string{contentType: callResponse.ContentType}, Body: callResponse.Body, Ran: true,
	}}}
}

// MoveStream implements request.Peers.
func (p requestPeers) MoveStream(ctx context.Context, address, request string) {
	ctx, cancel := clockwork.WithTimeout(ctx, p.node.deps.Clock, moveStreamTimeout)
	defer cancel()
	_, _ = p.node.deps.Peers.Call(ctx, address, &fleetv1.Request{
		From: p.node.Incarnation(), Hlc: uint64(p.node.events.Clock().Now()),
		Body: &fleetv1.Request_StreamMove{StreamMove: &fleetv1.StreamMove{Request: request}},
	})
}

func (n *Node) handleStreamMove(move *fleetv1.StreamMove) *fleetv1.Response {
	return &fleetv1.Response{Body: &fleetv1.Response_StreamMoved{StreamMoved: &fleetv1.StreamMoved{
		Moved: n.requests.MoveStream(move.GetRequest()),
	}}}
}

// recoverPeerPanic turns a panic in one peer request into an error response. Otherwise it would
// crash the node and cut off every response in progress.
func (n *Node) recoverPeerPanic(response **fleetv1.Response) {
	cause := recover()
	if cause == nil {
		return
	}
	n.events.Record(event.PanicRecovered, "why", cause)
	*response = &fleetv1.Response{Code: uint32(result.InternalError), Message: "a defect in this node",
		Body: &fleetv1.Response_CallForwarded{CallForwarded: &fleetv1.CallForwarded{Ran: true}}}
}
