package node

import (
	"context"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

// gatherAppends lets the writer hand its batches to the data centre's gatherer, which
// this node may be itself.
func (n *Node) gatherAppends() {
	policy := n.settings.GatherPolicy
	n.gatherer = gather.NewGatherer(n.deps.Log, n.settings.Stream, n.deps.Clock, policy, n.allRead)
	n.appender = gather.NewAppender(gather.Config{
		Self: n.info, Members: n.members.All, Local: n.gatherer,
		Direct: recordlog.NewLogAppender(n.deps.Log, n.settings.Stream, n.allRead),
		Peers:  n.deps.Peers, Clock: n.deps.Clock, Events: n.events, Policy: policy, GatheredSupported: n.allRead,
	})
	n.writer.SetAppender(n.appender)
}

// answerHandOn appends a batch of another node.
func (n *Node) answerHandOn(ctx context.Context, r *fleetv1.HandOn, response *fleetv1.Response) {
	offset, err := n.gatherer.Append(ctx, r.GetBatch(), time.Duration(r.GetWaitMs())*time.Millisecond)
	if err != nil {
		refuse(response, result.New(result.LogUnavailable, "%v", err))
		return
	}
	response.Body = &fleetv1.Response_HandedOn{HandedOn: &fleetv1.HandedOn{Offset: offset}}
}
