package node

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// HandlePeer answers another node; it is a peer.Handler.
func (n *Node) HandlePeer(ctx context.Context, r *fleetv1.Request) (response *fleetv1.Response) {
	defer n.recoverPeer(&response)
	n.events.Clock().Observe(event.Stamp(r.GetHlc()))
	response = &fleetv1.Response{}
	switch body := r.GetBody().(type) {
	case *fleetv1.Request_Ping:
		response.Body = &fleetv1.Response_Pong{Pong: &fleetv1.Pong{Views: n.members.Answer(body.Ping.GetViews())}}
	case *fleetv1.Request_PingVia:
		n.answerPingVia(ctx, body.PingVia, response)
	case *fleetv1.Request_LogRead:
		n.answerLogRead(ctx, body.LogRead, response)
	case *fleetv1.Request_EventsGather:
		response.Body = &fleetv1.Response_Events{Events: n.localEvents(body.EventsGather.GetId())}
	case *fleetv1.Request_CallForward:
		response = n.handleForward(ctx, body.CallForward)
	case *fleetv1.Request_StreamMove:
		response = n.handleMove(body.StreamMove)
	default:
		if !n.handleBudgets(r, response) {
			response.Code = uint32(result.MalformedRequest)
			response.Message = "this node doesn't know the request"
		}
	}
	response.Hlc = uint64(n.events.Clock().Now())
	return response
}

func (n *Node) localEvents(id string) *operatorv1.EventsResponse {
	events, dropped := n.events.Since(id)
	answer := &operatorv1.EventsResponse{Dropped: dropped}
	for _, e := range events {
		answer.Events = append(answer.Events, &operatorv1.Event{
			Hlc: uint64(e.Stamp), Node: e.Node, Number: uint32(e.Number), Name: e.Number.Kind().Name, Fields: e.Fields,
		})
	}
	return answer
}
