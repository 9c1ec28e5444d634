package allotment

import (
	"maps"
	"sync"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// Grants applies a node's grants to its share.
type Grants struct {
	share  *prepaid.Share
	node   string
	events *event.Recorder

	mu sync.Mutex
	// ceilings holds what every node was last granted, by account and node.
	ceilings map[string]map[string]int64
}

// NewGrants returns the handler of a node's grants.
func NewGrants(share *prepaid.Share, node string, events *event.Recorder) *Grants {
	return &Grants{share: share, node: node, events: events, ceilings: make(map[string]map[string]int64)}
}

// Ceilings returns what each node was last granted of an account, in tokens.
func (g *Grants) Ceilings(account string) map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.ceilings[account])
}

func (g *Grants) remember(grant prepaid.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range grant.Lines {
		if g.ceilings[l.Account] == nil {
			g.ceilings[l.Account] = make(map[string]int64)
		}
		g.ceilings[l.Account][grant.Node] = l.Ceiling
	}
}

// Reset takes the newest grants.
func (g *Grants) Reset(records []keyedlog.Record) { g.Apply(records) }

// Apply takes grants in order.
func (g *Grants) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Deleted {
			continue
		}
		grant, err := DecodeGrant(r.Value)
		if err != nil {
			g.events.Record(event.BatchVoid, "topic", "grants", "key", r.Key, "error", err)
			continue
		}
		g.remember(grant)
		for _, l := range grant.Lines {
			g.share.NoteLeft(l.Account, l.Left, l.Prepaid)
		}
		if r.Key == g.node && g.share.Apply(grant) {
			g.events.Record(event.ShareGranted, "epoch", grant.Epoch, "accounts", len(grant.Lines))
		}
	}
}

// Lost does nothing: reports over the same store log its loss.
func (g *Grants) Lost(error) {}

// Caught does nothing.
func (g *Grants) Caught() {}
