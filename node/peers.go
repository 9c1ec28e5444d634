package node

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// HandlePeer handles a request from another node; it is a peer.Handler.
func (n *Node) HandlePeer(ctx context.Context, r *fleetv1.Request) (response *fleetv1.Response) {
	defer n.recoverPeerPanic(&response)
	n.events.Clock().Observe(event.Timestamp(r.GetHlc()))
	response = &fleetv1.Response{}
	switch body := r.GetBody().(type) {
	case *fleetv1.Request_Ping:
		response.Body = &fleetv1.Response_Pong{Pong: &fleetv1.Pong{Views: n.members.HandlePing(body.Ping.GetViews())}}
	case *fleetv1.Request_PingVia:
		n.handlePingVia(ctx, body.PingVia, response)
	case *fleetv1.Request_LogRead:
		n.handleLogRead(ctx, body.LogRead, response)
	case *fleetv1.Request_EventsGather:
		response.Body = &fleetv1.Response_Events{Events: n.handleEventsGather(body.EventsGather)}
	case *fleetv1.Request_CallForward:
		response = n.handleCallForward(ctx, body.CallForward)
	case *fleetv1.Request_StreamMove:
		response = n.handleStreamMove(body.StreamMove)
	case *fleetv1.Request_RequestInquiries:
		response = n.handleRequestInquiries(r.GetFrom(), body.RequestInquiries)
	case *fleetv1.Request_UpstreamCrashes:
		response = n.handleUpstreamCrashes(r.GetFrom(), body.UpstreamCrashes)
	case *fleetv1.Request_HandOn:
		n.handleHandOn(ctx, body.HandOn, response)
	default:
		if !n.handleBudgets(r, response) {
			response.Code = uint32(result.MalformedRequest)
			response.Message = "this node doesn't know the request"
		}
	}
	response.Hlc = uint64(n.events.Clock().Now())
	return response
}
