package cache

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// MaxEngines is the most engines that the index tells apart.
	MaxEngines  = 256
	holderWords = MaxEngines / 64
	ways        = 4
	buckets     = 1 << 14
	// touchEvery bounds how often asking for a block writes to its entry.
	touchEvery = time.Second
)

// MatchLengths holds, for each engine, how many leading blocks of a prompt it holds.
type MatchLengths [MaxEngines]uint8

// MaxMatchLength is the most leading blocks that are looked at.
const MaxMatchLength = 255

// Index maps block hashes to engines. Its memory is fixed and it is safe for
// concurrent use without locks; a race between two writers can leave a wrong hint.
type Index struct {
	keep    time.Duration
	entries [buckets][ways]entry
}

type entry struct {
	hash    atomic.Uint64
	touched atomic.Int64
	holders [holderWords]atomic.Uint64
}

// NewIndex returns an empty index that forgets a block not heard of for keep. Without
// that an engine that dropped a block, its event lost in a gap, would draw requests
// for ever, which would show as a falling share of cache hits.
func NewIndex(keep time.Duration) *Index { return &Index{keep: keep} }

func (x *Index) find(hash uint64) *entry {
	bucket := &x.entries[hash%buckets]
	for i := range bucket {
		if bucket[i].hash.Load() == hash {
			return &bucket[i]
		}
	}
	return nil
}

// Add notes that an engine holds a block, or will once it has prefilled it.
func (x *Index) Add(hash uint64, holder int, now time.Time) {
	e := x.find(hash)
	if e == nil || x.old(e, now) {
		e = x.replace(hash, e, now)
	}
	e.touched.Store(now.UnixNano())
	e.holders[holder/64].Or(1 << (holder % 64))
}

// replace empties the entry given, or the one of the bucket touched longest ago.
func (x *Index) replace(hash uint64, e *entry, now time.Time) *entry {
	bucket := &x.entries[hash%buckets]
	for i := range bucket {
		if e == nil || (e.hash.Load() != hash && bucket[i].touched.Load() < e.touched.Load()) {
			e = &bucket[i]
		}
	}
	e.hash.Store(hash)
	for w := range e.holders {
		e.holders[w].Store(0)
	}
	e.touched.Store(now.UnixNano())
	return e
}

func (x *Index) old(e *entry, now time.Time) bool {
	return now.UnixNano()-e.touched.Load() > int64(x.keep)
}

// Remove notes that an engine dropped a block.
func (x *Index) Remove(hash uint64, holder int) {
	if e := x.find(hash); e != nil {
		e.holders[holder/64].And(^uint64(1 << (holder % 64)))
	}
}

// RemoveEngine drops everything known of an engine.
func (x *Index) RemoveEngine(holder int) {
	for b := range x.entries {
		for w := range x.entries[b] {
			x.entries[b][w].holders[holder/64].And(^uint64(1 << (holder % 64)))
		}
	}
}

// Match fills in how many leading blocks of the prefix each engine holds. A block
// that is asked for is heard of.
func (x *Index) Match(prefix []uint64, now time.Time, into *MatchLengths) {
	alive := [holderWords]uint64{}
	for w := range alive {
		alive[w] = ^uint64(0)
	}
	depth := 0
	for ; depth < min(len(prefix), MaxMatchLength); depth++ {
		e := x.find(prefix[depth])
		if e == nil || x.old(e, now) {
			break
		}
		if now.UnixNano()-e.touched.Load() > int64(touchEvery) {
			e.touched.Store(now.UnixNano())
		}
		left := uint64(0)
		for w := range alive {
			holders := alive[w] & e.holders[w].Load()
			set(into, w, alive[w]&^holders, depth)
			alive[w] = holders
			left |= holders
		}
		if left == 0 {
			return
		}
	}
	for w := range alive {
		set(into, w, alive[w], depth)
	}
}

func set(into *MatchLengths, word int, holders uint64, depth int) {
	if depth == 0 {
		return
	}
	for ; holders != 0; holders &= holders - 1 {
		into[word*64+bits.TrailingZeros64(holders)] = uint8(depth)
	}
}
