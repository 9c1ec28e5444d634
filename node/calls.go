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
	// forwardTimeout bounds a call passed on; the node that runs it gives an upstream
	// that is silent up before.
	forwardTimeout = 40 * time.Second
	moveTimeout    = 2 * time.Second
	forwardRetry   = time.Second
)

// nodePeers asks other nodes on behalf of requests; it implements request.Peers.
type nodePeers struct{ node *Node }

var _ request.Peers = nodePeers{}

// newRunner returns what runs named calls of plain services.
func (n *Node) newRunner() *idempotency.Runner {
	return idempotency.NewRunner(idempotency.Options{
		Incarnation: n.Incarnation(), Claims: n.claims, Log: n.writer, IsOpen: n.ledger.IsOpen,
		Clock: n.deps.Clock, Events: n.events,
	})
}

// Forward implements request.Peers.
func (p nodePeers) Forward(ctx context.Context, incarnation, address string, call *fleetv1.CallForward) (upstream.CallResponse, error) {
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
		return upstream.CallResponse{}, p.unreachable(incarnation)
	}
	n.events.Clock().Observe(event.Timestamp(response.GetHlc()))
	return forwardedAnswer(response)
}

// unreachable answers for a node that may have run a call and doesn't answer. While
// it may come back the caller should ask again; after its end nobody will know.
func (p nodePeers) unreachable(incarnation string) error {
	if p.node.ledger.IsOpen(incarnation) {
		return result.New(result.PeerUnreachable, "the node that owns the call doesn't answer").WithRetryAfter(forwardRetry)
	}
	return result.New(result.OutcomeUnknown, "the node that may have run the call is gone; it will not be run again")
}

func forwardedAnswer(response *fleetv1.Response) (upstream.CallResponse, error) {
	forwarded := response.GetCallForwarded()
	if code := result.Code(response.GetCode()); code != result.OK {
		err := result.New(code, "%s", response.GetMessage())
		if code.Info().Retry {
			err = err.WithRetryAfter(forwardRetry)
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

// handleForward runs a call that another node passed on.
func (n *Node) handleForward(ctx context.Context, call *fleetv1.CallForward) *fleetv1.Response {
	err := n.Serving()
	var answer upstream.CallResponse
	if err == nil {
		answer, err = n.requests.HandleForwarded(ctx, call)
	} else {
		err = result.From(err).WithMayHaveRun()
	}
	if err != nil {
		known := result.From(err)
		return &fleetv1.Response{Code: uint32(known.Code), Message: known.Message,
			Body: &fleetv1.Response_CallForwarded{CallForwarded: &fleetv1.CallForwarded{Ran: !known.NotRun()}}}
	}
	return &fleetv1.Response{Body: &fleetv1.Response_CallForwarded{CallForwarded: &fleetv1.CallForwarded{
		Status: uint32(answer.Status), Headers: map[string]string{contentType: answer.ContentType}, Body: answer.Body, Ran: true,
	}}}
}

// MoveStream implements request.Peers.
func (p nodePeers) MoveStream(ctx context.Context, address, request string) {
	ctx, cancel := clockwork.WithTimeout(ctx, p.node.deps.Clock, moveTimeout)
	defer cancel()
	_, _ = p.node.deps.Peers.Call(ctx, address, &fleetv1.Request{
		From: p.node.Incarnation(), Hlc: uint64(p.node.events.Clock().Now()),
		Body: &fleetv1.Request_StreamMove{StreamMove: &fleetv1.StreamMove{Request: request}},
	})
}

func (n *Node) handleMove(move *fleetv1.StreamMove) *fleetv1.Response {
	return &fleetv1.Response{Body: &fleetv1.Response_StreamMoved{StreamMoved: &fleetv1.StreamMoved{
		Moved: n.requests.MoveStream(move.GetRequest()),
	}}}
}

// recoverPeer keeps a defect in one exchange from ending the node, which would cut
// every answer on it.
func (n *Node) recoverPeer(response **fleetv1.Response) {
	defect := recover()
	if defect == nil {
		return
	}
	n.events.Record(event.PanicRecovered, "why", defect)
	*response = &fleetv1.Response{Code: uint32(result.InternalError), Message: "a defect in this node",
		Body: &fleetv1.Response_CallForwarded{CallForwarded: &fleetv1.CallForwarded{Ran: true}}}
}
