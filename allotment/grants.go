package allotment

import (
	"maps"
	"sync"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// GrantHandler applies a node's grants to its share.
type GrantHandler struct {
	share  *prepaid.Share
	node   string
	events *event.Recorder

	mu sync.Mutex
	// allocations holds the newest allocation of every node, by account and node.
	allocations map[string]map[string]Allocation
	// changed is closed and replaced when grants were applied.
	changed chan struct{}
}

// NewGrantHandler returns a handler of a node's grants.
func NewGrantHandler(share *prepaid.Share, node string, events *event.Recorder) *GrantHandler {
	return &GrantHandler{share: share, node: node, events: events, allocations: make(map[string]map[string]Allocation), changed: make(chan struct{})}
}

// Allocation is what a node's incarnation was last granted of an account, in tokens.
type Allocation struct {
	Incarnation string
	Ceiling     int64
	// Unused is what the node hadn't used of it at that time.
	Unused int64
}

// Allocations returns what each node was last granted of an account.
func (g *GrantHandler) Allocations(account string) map[string]Allocation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.allocations[account])
}

// Changed returns a channel that is closed when grants are next applied.
func (g *GrantHandler) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *GrantHandler) signalChange() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *GrantHandler) recordAllocations(grant prepaid.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range grant.Lines {
		if g.allocations[l.Account] == nil {
			g.allocations[l.Account] = make(map[string]Allocation)
		}
		g.allocations[l.Account][grant.Node] = Allocation{Incarnation: grant.Incarnation, Ceiling: l.Ceiling, Unused: l.Unused}
	}
}

// Reset applies the newest grants.
func (g *GrantHandler) Reset(records []keyedlog.Record) { g.Apply(records) }

// Apply applies grants in order.
func (g *GrantHandler) Apply(records []keyedlog.Record) {
	defer g.signalChange()
	for _, r := range records {
		if r.Deleted {
			continue
		}
		grant, err := DecodeGrant(r.Value)
		if err != nil {
			g.events.Record(event.BatchVoid, "topic", "grants", "key", r.Key, "error", err)
			continue
		}
		g.recordAllocations(grant)
		for _, l := range grant.Lines {
			g.share.SetRemaining(l)
		}
		if r.Key == g.node && g.share.Apply(grant) {
			g.events.Record(event.ShareGranted, "epoch", grant.Epoch, "accounts", len(grant.Lines))
		}
	}
}

// ReadFailed does nothing: the reporter logs when the same store is unreachable.
func (g *GrantHandler) ReadFailed(error) {}

// ReadSucceeded does nothing.
func (g *GrantHandler) ReadSucceeded(keyedlog.ReadStats) {}
