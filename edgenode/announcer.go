package edgenode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/presence"
)

const (
	// readinessCheckInterval is how often the node's readiness is checked for a change.
	readinessCheckInterval = 100 * time.Millisecond
	// announceTimeout bounds the write of one record.
	announceTimeout = 600 * time.Millisecond
	// rosterReadTimeout bounds the wait for the other nodes' records before the first own record
	// is written. Without them the node doesn't know its latency to the store, and a first
	// record that lacks it takes the planner role from a node close to the store.
	rosterReadTimeout = 300 * time.Millisecond
	// rosterCheckInterval is how often the node checks whether the records have been read.
	rosterCheckInterval = 10 * time.Millisecond
)

// announcer writes the node's presence records.
type announcer struct {
	node  *Node
	epoch uint64
	// interval is the interval of records as of the last one written.
	interval time.Duration
}

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(readinessCheckInterval)
	defer ticker.Stop()
	var lastAnnounced time.Duration
	var announced readiness
	a.awaitRoster(ctx)
	for {
		now := a.node.deps.Clock.Now()
		a.node.updateIdle()
		if current := a.node.readiness(); current != announced || lastAnnounced == 0 || now-lastAnnounced >= a.interval {
			announced, lastAnnounced = current, now
			_ = a.announce(ctx) // retried at the next interval, after 0.5 to 2 s
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readiness is what other nodes must learn of this one at once.
type readiness struct{ ready, pathsLost bool }

func (n *Node) readiness() readiness { return readiness{n.Ready(), n.pathsLost()} }

func (a *announcer) awaitRoster(ctx context.Context) {
	started := a.node.deps.Clock.Now()
	for ctx.Err() == nil && !a.node.roster.HasRead() && a.node.deps.Clock.Now()-started < rosterReadTimeout {
		periodic.Sleep(ctx, rosterCheckInterval)
	}
}

// announce writes one presence record.
func (a *announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	rec := a.node.presenceRecord()
	a.interval = presence.RecordInterval(a.node.roster.Live(), rec)
	rec.IntervalMs, rec.SentTimeMs = a.interval.Milliseconds(), a.node.deps.WallClock.Now().UnixMilli()
	value, err := json.Marshal(&rec)
	if err != nil {
		return errors.Trace(err)
	}
	a.epoch++
	fence := keyedlog.Fence{Producer: "presence/" + rec.Incarnation, Epoch: a.epoch}
	started := a.node.deps.Clock.Now()
	if err := a.node.deps.Topics.Presence.Append(ctx, fence, keyedlog.Record{Key: rec.Node, Value: value}); err != nil {
		return errors.Trace(err)
	}
	a.node.recordWriteLatency(a.node.deps.Clock.Now() - started)
	return nil
}

// recordWriteLatency keeps the lowest latency of a write to the store.
func (n *Node) recordWriteLatency(latency time.Duration) {
	latency = max(time.Millisecond, latency)
	if lowest := time.Duration(n.minWriteLatency.Load()); lowest == 0 || latency < lowest {
		n.minWriteLatency.Store(int64(latency))
	}
}

// storeLatencyMs returns the lowest write latency to the store, in milliseconds. Before the
// process has written anything it returns the value of the node's previous incarnation.
func (n *Node) storeLatencyMs() int64 {
	if lowest := time.Duration(n.minWriteLatency.Load()); lowest > 0 {
		return lowest.Milliseconds()
	}
	previous, _ := n.roster.LastRecord(n.settings.Node)
	return previous.StoreWriteMs
}
