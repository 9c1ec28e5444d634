package node

import (
	"context"
	"time"
)

// flushInterval is the longest that a settlement waits for its batch.
const flushInterval = 200 * time.Millisecond

// flushSettlements wakes the writer at intervals. Appends so grow with nodes, not
// with requests.
func (n *Node) flushSettlements(ctx context.Context) {
	ticker := n.deps.Clock.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			n.writer.Wake()
		}
	}
}
