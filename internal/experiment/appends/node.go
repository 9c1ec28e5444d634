package appends

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/recordlog"
)

// GatherDelay is how long a node's writer gathers before each append, as node.DefaultSettings
// has it.
const GatherDelay = 20 * time.Millisecond

// Node is the part of a node that appends.
type Node struct {
	Info     *recordv1.NodeInfo
	Writer   *recordlog.Writer
	Gatherer *gather.Gatherer
	Appender *gather.Appender
	// Stop ends the node as its process would end.
	Stop  context.CancelFunc
	clock clockwork.Clock
}

// Name returns the node's incarnation.
func (n *Node) Name() string { return n.Info.GetIncarnation() }

// Submit writes an entry that the tallies keep under its tokens.
func (n *Node) Submit(tokens uint64) *recordlog.Ticket {
	return n.Writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareReturn{
		ShareReturn: &recordv1.ShareReturn{Budget: "casco-reports", Tokens: tokens}}})
}

// MeasureSubmit submits an entry and returns how long its verdict took.
func (n *Node) MeasureSubmit(tokens uint64) time.Duration {
	began := n.clock.Now()
	<-n.Submit(tokens).Done()
	return n.clock.Since(began)
}
