package node

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// flushInterval is the longest that a settlement waits for its batch.
const flushInterval = 200 * time.Millisecond

// flushSettlements wakes the writer at intervals. Appends so grow with nodes, not
// with requests.
func (n *Node) flushSettlements(ctx context.Context) {
	periodic.Run(ctx, n.deps.Clock, flushInterval, func(context.Context) { n.writer.Wake() })
}
