package cache

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// MaxEngines is the most engines that the index can track.
	MaxEngines  = 256
	engineWords = MaxEngines / 64
	ways        = 4
	buckets     = 1 << 14
	// touchInterval is the shortest interval between lookups that update an entry's lastUsed.
	touchInterval = time.Second
)

// MatchLengths holds, for each engine, the number of leading blocks of a prompt that it has
// cached.
type MatchLengths [MaxEngines]uint8

// MaxMatchLength is the most leading blocks that are compared.
const MaxMatchLength = 255

// Index maps block hashes to engines. Its memory is fixed. It is safe for concurrent use
// without locks; a race between two writers can leave a wrong hint.
type Index struct {
	ttl     time.Duration
	entries [buckets][ways]entry
}

type entry struct {
	hash     atomic.Uint64
	lastUsed atomic.Int64
	engines  [engineWords]atomic.Uint64
}

// NewIndex returns an empty index whose entries expire after ttl without use. Otherwise an
// engine that evicted a block, with the event lost in a gap, would attract requests for ever,
// visible as a falling cache hit rate.
func NewIndex(ttl time.Duration) *Index { return &Index{ttl: ttl} }

func (x *Index) find(hash uint64) *entry {
	bucket := &x.entries[hash%buckets]
	for i := range bucket {
		if bucket[i].hash.Load() == hash {
			return &bucket[i]
		}
	}
	return nil
}

// Add records that an engine has a block cached, or will once it has prefilled it.
func (x *Index) Add(hash uint64, engine int, now time.Time) {
	e := x.find(hash)
	if e == nil || x.expired(e, now) {
		e = x.replace(hash, e, now)
	}
	e.lastUsed.Store(now.UnixNano())
	e.engines[engine/64].Or(1 << (engine % 64))
}

// replace resets the given entry, or the least recently used one of the bucket if e is nil.
func (x *Index) replace(hash uint64, e *entry, now time.Time) *entry {
	bucket := &x.entries[hash%buckets]
	for i := range bucket {
		if e == nil || (e.hash.Load() != hash && bucket[i].lastUsed.Load() < e.lastUsed.Load()) {
			e = &bucket[i]
		}
	}
	e.hash.Store(hash)
	for w := range e.engines {
		e.engines[w].Store(0)
	}
	e.lastUsed.Store(now.UnixNano())
	return e
}

func (x *Index) expired(e *entry, now time.Time) bool {
	return now.UnixNano()-e.lastUsed.Load() > int64(x.ttl)
}

// Remove records that an engine evicted a block.
func (x *Index) Remove(hash uint64, engine int) {
	if e := x.find(hash); e != nil {
		e.engines[engine/64].And(^uint64(1 << (engine % 64)))
	}
}

// RemoveEngine removes an engine from all entries.
func (x *Index) RemoveEngine(engine int) {
	for b := range x.entries {
		for w := range x.entries[b] {
			x.entries[b][w].engines[engine/64].And(^uint64(1 << (engine % 64)))
		}
	}
}

// Match fills in how many leading blocks of the prefix each engine has cached. A lookup
// counts as a use of the blocks found.
func (x *Index) Match(prefix []uint64, now time.Time, lengths *MatchLengths) {
	matching := [engineWords]uint64{}
	for w := range matching {
		matching[w] = ^uint64(0)
	}
	length := 0
	for ; length < min(len(prefix), MaxMatchLength); length++ {
		e := x.find(prefix[length])
		if e == nil || x.expired(e, now) {
			break
		}
		if now.UnixNano()-e.lastUsed.Load() > int64(touchInterval) {
			e.lastUsed.Store(now.UnixNano())
		}
		remaining := uint64(0)
		for w := range matching {
			present := matching[w] & e.engines[w].Load()
			setLengths(lengths, w, matching[w]&^present, length)
			matching[w] = present
			remaining |= present
		}
		if remaining == 0 {
			return
		}
	}
	for w := range matching {
		setLengths(lengths, w, matching[w], length)
	}
}

func setLengths(lengths *MatchLengths, word int, engines uint64, length int) {
	if length == 0 {
		return
	}
	for ; engines != 0; engines &= engines - 1 {
		lengths[word*64+bits.TrailingZeros64(engines)] = uint8(length)
	}
}
