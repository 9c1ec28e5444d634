package allotment

import (
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// Grants applies a node's grants to its share.
type Grants struct {
	share  *prepaid.Share
	node   string
	events *event.Recorder
	// Granted is called after each new grant.
	Granted func()
}

// NewGrants returns the handler of a node's grants.
func NewGrants(share *prepaid.Share, node string, events *event.Recorder, granted func()) *Grants {
	return &Grants{share: share, node: node, events: events, Granted: granted}
}

// Reset takes the newest grants.
func (g *Grants) Reset(records []keyedlog.Record) { g.Apply(records) }

// Apply takes grants in order.
func (g *Grants) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Deleted || r.Key != g.node {
			continue
		}
		grant, err := DecodeGrant(r.Value)
		if err != nil {
			g.events.Record(event.BatchVoid, "topic", "grants", "key", r.Key, "error", err)
			continue
		}
		if g.share.Apply(grant) {
			g.events.Record(event.ShareGranted, "epoch", grant.Epoch, "accounts", len(grant.Lines))
			g.Granted()
		}
	}
}

// Lost does nothing: reports over the same store log its loss.
func (g *Grants) Lost(error) {}

// Caught does nothing.
func (g *Grants) Caught() {}
