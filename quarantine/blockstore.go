package quarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// BlocksTopicName is the name of the topic that holds the blocks of parts.
const BlocksTopicName = "blocked-parts"

const (
	// A node writes what it blocked at once. What the store still lacks after minLackTime to maxLackTime, every other node that
	// knows of it writes: the one that blocked the part may be gone.
	minLackTime = 5 * time.Second
	maxLackTime = 20 * time.Second
)

// BlockRecord is a block in the store.
type BlockRecord struct {
	Block
	// WrittenAtMs is the time of day at the writing, in Unix milliseconds.
	WrittenAtMs int64 `json:"w"`
}

// BlockStore keeps a guard's blocks in the store, and learns those of other nodes from it. It is the handler of the
// topic's follower.
type BlockStore struct {
	Guard *Guard
	Topic keyedlog.Topic
	Wall  clockwork.Clock
	// Incarnation identifies this process.
	Incarnation string
	// OnRead is told how reading the topic goes.
	OnRead interface {
		ReadFailed(error)
		ReadSucceeded(keyedlog.ReadStats)
	}

	mu sync.Mutex
	// stored is the version of each block that the store holds.
	stored map[ID]uint64
	epoch  uint64
}

// Reset implements keyedlog.Handler.
func (s *BlockStore) Reset(records []keyedlog.Record) { s.Apply(records) }

// Apply implements keyedlog.Handler.
func (s *BlockStore) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Deleted {
			continue
		}
		var kept BlockRecord
		if err := json.Unmarshal(r.Value, &kept); err != nil {
			s.Guard.events.Record(event.BatchVoid, "topic", BlocksTopicName, "key", r.Key, "error", err)
			continue
		}
		s.markStored(kept.Part, kept.Version)
		b := kept.Block
		b.AgoMs += max(0, s.Wall.Now().UnixMilli()-kept.WrittenAtMs)
		s.Guard.LearnBlock(b, "store")
	}
}

// ReadFailed implements keyedlog.Handler.
func (s *BlockStore) ReadFailed(err error) { s.OnRead.ReadFailed(err) }

// ReadSucceeded implements keyedlog.Handler.
func (s *BlockStore) ReadSucceeded(r keyedlog.ReadStats) { s.OnRead.ReadSucceeded(r) }

func (s *BlockStore) markStored(part ID, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stored == nil {
		s.stored = make(map[ID]uint64)
	}
	s.stored[part] = max(s.stored[part], version)
}

// Run writes what the store lacks until ctx ends.
func (s *BlockStore) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(minLackTime + rand.N(maxLackTime-minLackTime))
		select {
		case <-ctx.Done():
		case <-s.Guard.blocksChanged:
		case <-timer.C:
		}
		timer.Stop()
		if err := s.write(ctx); err != nil && ctx.Err() == nil {
			s.Guard.events.Record(event.LogUnreachable, "topic", BlocksTopicName, "error", err)
		}
	}
}

// write writes the blocks that the store lacks.
func (s *BlockStore) write(ctx context.Context) error {
	var lacking []keyedlog.Record
	versions := make(map[ID]uint64)
	for _, b := range s.Guard.parts.all(s.Guard.clock.Now()) {
		s.mu.Lock()
		stored := s.stored[b.Part]
		s.mu.Unlock()
		if b.Version <= stored {
			continue
		}
		value, err := json.Marshal(BlockRecord{Block: b, WrittenAtMs: s.Wall.Now().UnixMilli()})
		if err != nil {
			return errors.Trace(err)
		}
		lacking = append(lacking, keyedlog.Record{Key: b.Part.String(), Value: value})
		versions[b.Part] = b.Version
	}
	if len(lacking) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	s.epoch++
	if err := s.Topic.Append(ctx, keyedlog.Fence{Producer: BlocksTopicName + "/" + s.Incarnation, Epoch: s.epoch}, lacking...); err != nil {
		return errors.Trace(err)
	}
	for part, version := range versions {
		s.markStored(part, version)
	}
	return nil
}
