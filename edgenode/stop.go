package edgenode

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
)

// Leave makes the node give callers the addresses of other nodes, while it still serves incoming
// requests that end within the window.
func (n *Node) Leave(w drain.Window) {
	if n.leaving.Swap(true) {
		return
	}
	n.gateway.Drain(w)
	n.deps.Events.Record(event.NodeDraining, "left_ms", w.Left(n.deps.Clock.Now()).Milliseconds())
}

// Refuse makes the node refuse every new request: by now callers know other addresses.
func (n *Node) Refuse() { n.refusing.Store(true) }

// finalReportTimeout bounds the last report; without it the node's drawn tokens are stranded.
const finalReportTimeout = 800 * time.Millisecond

// Stop returns the node's share and ends its loops. The tokens that open requests have reserved
// count as used.
func (n *Node) Stop(ctx context.Context) {
	n.share.End()
	ctx, cancel := context.WithTimeout(ctx, finalReportTimeout)
	defer cancel()
	if err := n.report(ctx); err != nil {
		n.deps.Events.Record(event.LogUnreachable, "topic", "spend", "error", err)
	}
	n.stop()
	n.loops.Wait()
	n.deps.Events.Record(event.NodeStopped, "node", n.settings.Node)
}
