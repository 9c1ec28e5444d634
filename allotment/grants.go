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
	// holdings holds what every node was last granted, by account and node.
	holdings map[string]map[string]Holding
}

// NewGrants returns the handler of a node's grants.
func NewGrants(share *prepaid.Share, node string, events *event.Recorder) *Grants {
	return &Grants{share: share, node: node, events: events, holdings: make(map[string]map[string]Holding)}
}

// Holding is what a node was last granted of an account, in tokens.
type Holding struct {
	Ceiling int64
	// Room is what the node hadn't used of it then.
	Room int64
}

// Holdings returns what each node was last granted of an account.
func (g *Grants) Holdings(account string) map[string]Holding {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.holdings[account])
}

func (g *Grants) remember(grant prepaid.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range grant.Lines {
		if g.holdings[l.Account] == nil {
			g.holdings[l.Account] = make(map[string]Holding)
		}
		g.holdings[l.Account][grant.Node] = Holding{Ceiling: l.Ceiling, Room: l.Unused}
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
			g.share.SetRemaining(l.Account, l.Remaining, l.Prepaid)
		}
		if r.Key == g.node && g.share.Apply(grant) {
			g.events.Record(event.ShareGranted, "epoch", grant.Epoch, "accounts", len(grant.Lines))
		}
	}
}

// Lost does nothing: reports over the same store log its loss.
func (g *Grants) Lost(error) {}

// Caught does nothing.
func (g *Grants) Caught(keyedlog.Reading) {}
