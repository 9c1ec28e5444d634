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
	// announceCheck is how often a change of its readiness is looked for.
	announceCheck = 100 * time.Millisecond
	// announceTimeout bounds one record's writing.
	announceTimeout = 600 * time.Millisecond
	// firstAnnounce bounds the wait for the other nodes' records before the first own one.
	// Without them a node doesn't know how far the store is, and a first record that leaves
	// this out takes the duties from a node beside the store.
	firstAnnounce = 300 * time.Millisecond
	// firstCheck is how often the records are looked for.
	firstCheck = 10 * time.Millisecond
)

// announcer writes what the node says of itself.
type announcer struct {
	node  *Node
	epoch uint64
	// every is the interval of records as of the last one.
	every time.Duration
}

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceCheck)
	defer ticker.Stop()
	var last time.Duration
	ready := false
	a.awaitRoster(ctx)
	for {
		now := a.node.deps.Clock.Now()
		a.node.noteQuiet()
		if changed := a.node.Ready() != ready; changed || last == 0 || now-last >= a.every {
			ready, last = a.node.Ready(), now
			_ = a.announce(ctx) // the next record follows within half a second
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *announcer) awaitRoster(ctx context.Context) {
	begun := a.node.deps.Clock.Now()
	for ctx.Err() == nil && !a.node.roster.HasRead() && a.node.deps.Clock.Now()-begun < firstAnnounce {
		periodic.Pause(ctx, firstCheck)
	}
}

// announce writes one record.
func (a *announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	rec := a.node.record()
	a.every = presence.RecordInterval(a.node.roster.Live(), rec)
	rec.IntervalMs = a.every.Milliseconds()
	value, err := json.Marshal(&rec)
	if err != nil {
		return errors.Trace(err)
	}
	a.epoch++
	fence := keyedlog.Fence{Producer: "presence/" + rec.Incarnation, Epoch: a.epoch}
	begun := a.node.deps.Clock.Now()
	if err := a.node.deps.Topics.Presence.Append(ctx, fence, keyedlog.Record{Key: rec.Node, Value: value}); err != nil {
		return errors.Trace(err)
	}
	a.node.noteWrite(a.node.deps.Clock.Now() - begun)
	return nil
}

// noteWrite keeps the shortest time that a write to the store took.
func (n *Node) noteWrite(took time.Duration) {
	took = max(time.Millisecond, took)
	if fastest := time.Duration(n.fastestWrite.Load()); fastest == 0 || took < fastest {
		n.fastestWrite.Store(int64(took))
	}
}

// storeMs is the shortest time that a write to the store took, in milliseconds. Before the
// process has written anything it is what the node's earlier incarnation saw.
func (n *Node) storeMs() int64 {
	if own := time.Duration(n.fastestWrite.Load()); own > 0 {
		return own.Milliseconds()
	}
	earlier, _ := n.roster.LastRecord(n.settings.Node)
	return earlier.StoreWriteMs
}
