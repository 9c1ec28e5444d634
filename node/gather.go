package node

import (
	"context"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

// initGathering makes the writer send its batches to the data centre's gatherer, which may be
// this node itself.
func (n *Node) initGathering() {
	policy := n.settings.GatherPolicy
	n.gatherer = gather.NewGatherer(n.deps.Log, n.settings.Stream, n.deps.Clock, policy, n.allReadGathered)
	n.appender = gather.NewAppender(gather.Config{
		Self: n.info, Members: n.members.All, Local: n.gatherer,
		Direct: recordlog.NewLogAppender(n.deps.Log, n.settings.Stream, n.allReadGathered),
		Peers:  n.deps.Peers, Clock: n.deps.Clock, Events: n.events, Policy: policy, GatheredSupported: n.allReadGathered,
	})
	n.writer.SetAppender(n.appender)
}

// handleHandOn appends a batch on behalf of another node.
func (n *Node) handleHandOn(ctx context.Context, r *fleetv1.HandOn, response *fleetv1.Response) {
	offset, err := n.gatherer.Append(ctx, r.GetBatch(), time.Duration(r.GetWaitMs())*time.Millisecond)
	if err != nil {
		setError(response, result.New(result.LogUnavailable, "%v", err))
		return
	}
	response.Body = &fleetv1.Response_HandedOn{HandedOn: &fleetv1.HandedOn{Offset: offset}}
}
