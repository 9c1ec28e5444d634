package edgenode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/presence"
)

const (
	// announceCheck is how often a change of its readiness is looked for.
	announceCheck = 100 * time.Millisecond
	// announceTimeout bounds one record's writing.
	announceTimeout = 600 * time.Millisecond
)

// announcer writes what the node says of itself.
type announcer struct {
	node  *Node
	epoch uint64
	// fastest is the shortest time that a record's writing took; zero before the first.
	fastest time.Duration
}

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceCheck)
	defer ticker.Stop()
	var last time.Duration
	ready := false
	for {
		now := a.node.deps.Clock.Now()
		a.node.noteQuiet()
		if changed := a.node.Ready() != ready; changed || last == 0 || now-last >= a.every() {
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

// every is the interval of records now.
func (a *announcer) every() time.Duration {
	return presence.Every(a.node.roster.Live(), a.node.record())
}

// announce writes one record.
func (a *announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	rec := a.node.record()
	rec.EveryMs = a.every().Milliseconds()
	rec.StoreMs = a.fastest.Milliseconds()
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
	if took := max(time.Millisecond, a.node.deps.Clock.Now()-begun); a.fastest == 0 || took < a.fastest {
		a.fastest = took
	}
	return nil
}
