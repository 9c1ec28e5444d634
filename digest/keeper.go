package digest

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

const (
	// keepEvery is the pause between two looks for changes. With a reading before and after
	// it a change reaches every node within 1.5 s; a leaving upstream may get new work for 3.
	keepEvery = 200 * time.Millisecond
	// markEvery is the interval of marks.
	markEvery = 500 * time.Millisecond
	// StaleAfter is how long after the last mark a digest isn't believed: four marks.
	StaleAfter = 2 * time.Second
	// keepTimeout bounds one write.
	keepTimeout = 1500 * time.Millisecond
)

// Keeper writes a digest while that falls to its node. It isn't safe for concurrent use.
type Keeper struct {
	Topic keyedlog.Topic
	// Producer names the keeper to the store.
	Producer string
	// Mine tells whether the node is to keep the digest now, Ready what it should hold.
	Mine   func() bool
	Ready  func() []directory.Entry
	Events *event.Recorder

	epoch   uint64
	written map[string]directory.Entry
	marked  time.Time
}

// Run keeps the digest until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !k.Mine() {
			k.written = nil
		} else if err := k.Step(ctx); err != nil && ctx.Err() == nil {
			k.written = nil // what was written of it isn't known
			k.Events.Record(event.LogUnreachable, "topic", "digest", "error", err)
		}
		periodic.Pause(ctx, keepEvery)
	}
}

// Step writes what changed and, now and then, the mark.
func (k *Keeper) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if k.written == nil {
		if err := k.load(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	ready := k.Ready()
	records, err := Diff(k.written, ready)
	if err != nil {
		return errors.Trace(err)
	}
	if time.Since(k.marked) >= markEvery {
		records = append(records, keyedlog.Record{Key: markKey, Value: []byte(k.Producer)})
	}
	if len(records) == 0 {
		return nil
	}
	k.epoch++
	if err := k.Topic.Append(ctx, keyedlog.Fence{Producer: k.Producer, Epoch: k.epoch}, records...); err != nil {
		return errors.Trace(err)
	}
	k.marked = time.Now()
	clear(k.written)
	for _, e := range ready {
		k.written[e.ID] = e
	}
	return nil
}

// load reads what the digest holds, so that what is gone meanwhile is taken out.
func (k *Keeper) load(ctx context.Context) error {
	records, _, err := k.Topic.Newest(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	written := make(map[string]directory.Entry, len(records))
	for _, r := range records {
		e, isEntry, err := Decode(r)
		switch {
		case err != nil:
			written[r.Key] = directory.Entry{} // differs from whatever stands there now
		case isEntry:
			written[e.ID] = e
		}
	}
	k.written = written
	return nil
}
