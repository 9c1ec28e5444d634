package enginemodel

import "container/list"

// prefixCache indexes KV blocks by the chained hash of the prompt up to the end of
// the block. Unreferenced blocks stay cached until memory is needed and are evicted
// in least-recently-used order.
type prefixCache struct {
	blocks        map[uint64]*cachedBlock
	lru           *list.List // unreferenced *cachedBlock, least recently used at the front
	privateBlocks int
	capacity      int
	onChange      func(hash uint64, stored bool)
}

type cachedBlock struct {
	hash    uint64
	refs    int
	element *list.Element
}

func newPrefixCache(capacity int, onChange func(hash uint64, stored bool)) *prefixCache {
	return &prefixCache{blocks: map[uint64]*cachedBlock{}, lru: list.New(), capacity: capacity, onChange: onChange}
}

// match returns how many leading blocks of the prefix are cached.
func (c *prefixCache) match(prefix []uint64) int {
	for i, hash := range prefix {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(prefix)
}

// allocate references the first hits blocks of the prefix and reserves private blocks. It
// returns false if memory is insufficient.
func (c *prefixCache) allocate(prefix []uint64, hits, privateBlocks int) bool {
	for _, hash := range prefix[:hits] {
		c.retain(c.blocks[hash])
	}
	if c.capacity-c.privateBlocks-len(c.blocks)+c.lru.Len() < privateBlocks {
		c.release(prefix, hits, 0)
		return false
	}
	for c.capacity-c.privateBlocks-len(c.blocks) < privateBlocks {
		c.evict()
	}
	c.privateBlocks += privateBlocks
	return true
}

func (c *prefixCache) retain(b *cachedBlock) {
	if b.element != nil {
		c.lru.Remove(b.element)
		b.element = nil
	}
	b.refs++
}

func (c *prefixCache) evict() {
	oldest := c.lru.Remove(c.lru.Front()).(*cachedBlock)
	delete(c.blocks, oldest.hash)
	c.onChange(oldest.hash, false)
}

// share converts the private blocks from index sharedBefore on into shared ones and
// returns how many leading blocks the sequence shares now.
func (c *prefixCache) share(prefix []uint64, sharedBefore int) (shared int) {
	for _, hash := range prefix[sharedBefore:] {
		c.privateBlocks--
		b := c.blocks[hash]
		if b == nil {
			b = &cachedBlock{hash: hash}
			c.blocks[hash] = b
			c.onChange(hash, true)
		}
		c.retain(b)
	}
	return len(prefix)
}

// release frees a sequence's blocks. The last blocks become the least recently used: a
// prefix is worth more than the blocks after it, which can't be matched without it.
func (c *prefixCache) release(prefix []uint64, sharedBlocks, privateBlocks int) {
	c.privateBlocks -= privateBlocks
	for i := sharedBlocks - 1; i >= 0; i-- {
		b := c.blocks[prefix[i]]
		b.refs--
		if b.refs == 0 {
			b.element = c.lru.PushBack(b)
		}
	}
}

func (c *prefixCache) reset() {
	c.blocks = map[uint64]*cachedBlock{}
	c.lru.Init()
	c.privateBlocks = 0
}

func (c *prefixCache) usedBlocks() int { return c.privateBlocks + len(c.blocks) - c.lru.Len() }
