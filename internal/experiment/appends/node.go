package appends

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/recordlog"
)

// GatherDelay is how long a node's writer collects entries before each append, the same as
// in node.DefaultSettings.
const GatherDelay = 20 * time.Millisecond

// Node is the append path of a node.
type Node struct {
	Info     *recordv1.NodeInfo
	Writer   *recordlog.Writer
	Gatherer *gather.Gatherer
	Appender *gather.Appender
	// Stop stops the node abruptly, like the end of its process.
	Stop  context.CancelFunc
	clock clockwork.Clock
}

// Name returns the node's incarnation.
func (n *Node) Name() string { return n.Info.GetIncarnation() }

// Submit submits a share return, which AppliedReturns records by its tokens.
func (n *Node) Submit(tokens uint64) *recordlog.Ticket {
	return n.Writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareReturn{
		ShareReturn: &recordv1.ShareReturn{Budget: "casco-reports", Tokens: tokens}}})
}

// MeasureSubmit submits an entry and returns the time until its verdict.
func (n *Node) MeasureSubmit(tokens uint64) time.Duration {
	start := n.clock.Now()
	<-n.Submit(tokens).Done()
	return n.clock.Since(start)
}
