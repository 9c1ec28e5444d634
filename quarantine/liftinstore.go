package quarantine

import (
	"context"
	"encoding/json"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// ReadBlocks returns the blocks in the store, lifted ones included. Records that can't be read are left out: nodes log
// them.
func ReadBlocks(ctx context.Context, topic keyedlog.Topic) ([]BlockRecord, error) {
	records, _, err := topic.Newest(ctx, func() {})
	if err != nil {
		return nil, errors.Trace(err)
	}
	var blocks []BlockRecord
	for _, r := range records {
		var kept BlockRecord
		if !r.Deleted && json.Unmarshal(r.Value, &kept) == nil {
			blocks = append(blocks, kept)
		}
	}
	return blocks, nil
}

// LiftInStore lifts the blocks of the parts with a name in the store; nodes learn of it from there.
func LiftInStore(ctx context.Context, topic keyedlog.Topic, wall clockwork.Clock, name, by string) error {
	blocks, err := ReadBlocks(ctx, topic)
	if err != nil {
		return errors.Trace(err)
	}
	var lifted []keyedlog.Record
	for _, b := range blocks {
		if !b.Blocked || b.Name != name {
			continue
		}
		b.Blocked, b.By, b.WrittenAtMs = false, by, wall.Now().UnixMilli()
		b.Version++
		value, err := json.Marshal(b)
		if err != nil {
			return errors.Trace(err)
		}
		lifted = append(lifted, keyedlog.Record{Key: b.Part.String(), Value: value})
	}
	if len(lifted) == 0 {
		return errors.Errorf("part %q isn't blocked", name)
	}
	fence := keyedlog.Fence{Producer: BlocksTopicName + "/operator", Epoch: uint64(wall.Now().UnixNano())}
	return errors.Trace(topic.Append(ctx, fence, lifted...))
}
