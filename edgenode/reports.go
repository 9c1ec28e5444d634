package edgenode

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/allotment"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// errPredecessorsUnknown is returned until the records of earlier incarnations have been read.
var errPredecessorsUnknown = errors.New("the records of earlier incarnations have not been read yet")

// report reports the share's usage immediately and returns once the report is acknowledged.
func (n *Node) report(ctx context.Context) error {
	reporter := n.reporter.Load()
	if reporter == nil {
		return errPredecessorsUnknown
	}
	return errors.Trace(reporter.Report(ctx))
}

// spendTopic returns the partition that holds this node's reports.
func (n *Node) spendTopic() keyedlog.Topic { return n.deps.Topics.Spend.Of(n.settings.Node) }

// runReporter reads the records of earlier incarnations and then reports at intervals. Without
// these records spending could not be bounded: a node is granted nothing before its first
// report, which names its earlier incarnations.
func (n *Node) runReporter(ctx context.Context) {
	predecessors, err := n.readPredecessors(ctx)
	if err != nil {
		return // the node has stopped
	}
	n.share.SetPredecessors(predecessors.FinalUsages)
	n.share.SeedDemand(predecessors.Last)
	reporter := allotment.NewReporter(n.share, n.spendTopic(), n.settings.Node, n.settings.Incarnation, predecessors.ReportKeys, n.deps.Events)
	n.reporter.Store(reporter)
	reporter.Run(ctx)
}

const (
	// predecessorsTimeout bounds one attempt to read the records of earlier incarnations, over a
	// link that all nodes may be sharing for the same purpose.
	predecessorsTimeout = 5 * time.Second
	// predecessorsRetryPause is the pause between attempts.
	predecessorsRetryPause = 200 * time.Millisecond
)

func (n *Node) readPredecessors(ctx context.Context) (allotment.PredecessorRecords, error) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, predecessorsTimeout)
		predecessors, err := allotment.ReadPredecessors(callCtx, n.deps.Topics.Spend, n.settings.Node, n.settings.Start, n.deps.WallClock)
		cancel()
		if err == nil {
			return predecessors, nil
		}
		n.deps.Events.Record(event.LogUnreachable, "topic", "spend", "error", err)
		periodic.Sleep(ctx, predecessorsRetryPause)
	}
	return allotment.PredecessorRecords{}, errors.Trace(ctx.Err())
}
