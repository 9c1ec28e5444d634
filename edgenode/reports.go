package edgenode

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/allotment"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// errNotReporting tells that the node doesn't know yet what its earlier incarnations left.
var errNotReporting = errors.New("what earlier incarnations left isn't known yet")

// report reports the share's use at once and returns when that is acknowledged.
func (n *Node) report(ctx context.Context) error {
	reporter := n.reporter.Load()
	if reporter == nil {
		return errNotReporting
	}
	return errors.Trace(reporter.Report(ctx))
}

// reportOn reads what earlier incarnations left and then reports at intervals. Without
// what was left, spending could not be bounded: nothing is granted to a node before its
// first report, which names its earlier incarnations.
func (n *Node) reportOn(ctx context.Context) {
	earlier, err := n.readEarlier(ctx)
	if err != nil {
		return // the node has ended
	}
	n.share.SetPredecessors(earlier.FinalUsages)
	reporter := allotment.NewReporter(n.share, n.deps.Topics.Spend, n.settings.Node, n.settings.Incarnation, earlier.ReportKeys, n.deps.Events)
	n.reporter.Store(reporter)
	reporter.Run(ctx)
}

const (
	// earlierTimeout bounds one attempt to read what earlier incarnations left, over a link
	// that all nodes may share for it.
	earlierTimeout = 5 * time.Second
	// earlierRetry is the pause between attempts.
	earlierRetry = 200 * time.Millisecond
)

func (n *Node) readEarlier(ctx context.Context) (allotment.PredecessorRecords, error) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, earlierTimeout)
		earlier, err := allotment.ReadPredecessors(call, n.deps.Topics.Spend, n.settings.Node, n.settings.Start, n.deps.WallClock)
		cancel()
		if err == nil {
			return earlier, nil
		}
		n.deps.Events.Record(event.LogUnreachable, "topic", "spend", "error", err)
		periodic.Pause(ctx, earlierRetry)
	}
	return allotment.PredecessorRecords{}, errors.Trace(ctx.Err())
}
