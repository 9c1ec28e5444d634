package node

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// flushInterval is the longest that a settlement waits to be added to a batch.
const flushInterval = 200 * time.Millisecond

// flushSettlements wakes the writer at a fixed interval, so that the number of appends grows
// with the number of nodes and not with that of requests.
func (n *Node) flushSettlements(ctx context.Context) {
	periodic.Run(ctx, n.deps.Clock, flushInterval, func(context.Context) { n.writer.Wake() })
}
