package enginemodel

import "container/list"

// prefixCache holds KV blocks by the chained hash of the prompt up to their end.
// Blocks that no sequence uses stay until memory is needed, the least recently used
// going first.
type prefixCache struct {
	blocks  map[uint64]*cachedBlock
	unused  *list.List // of *cachedBlock, the least recently used in front
	private int
	total   int
	changed func(hash uint64, stored bool)
}

type cachedBlock struct {
	hash    uint64
	users   int
	element *list.Element
}

func newPrefixCache(total int, changed func(hash uint64, stored bool)) *prefixCache {
	return &prefixCache{blocks: map[uint64]*cachedBlock{}, unused: list.New(), total: total, changed: changed}
}

// match returns how many leading blocks of the prefix are held.
func (c *prefixCache) match(prefix []uint64) int {
	for i, hash := range prefix {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(prefix)
}

// take shares the leading held blocks and adds private ones; false if memory lacks.
func (c *prefixCache) take(prefix []uint64, held, private int) bool {
	for _, hash := range prefix[:held] {
		c.use(c.blocks[hash])
	}
	if c.total-c.private-len(c.blocks)+c.unused.Len() < private {
		c.release(prefix, held, 0)
		return false
	}
	for c.total-c.private-len(c.blocks) < private {
		c.evict()
	}
	c.private += private
	return true
}

func (c *prefixCache) use(b *cachedBlock) {
	if b.element != nil {
		c.unused.Remove(b.element)
		b.element = nil
	}
	b.users++
}

func (c *prefixCache) evict() {
	oldest := c.unused.Remove(c.unused.Front()).(*cachedBlock)
	delete(c.blocks, oldest.hash)
	c.changed(oldest.hash, false)
}

// store turns private blocks from index held on into shared ones and returns how
// many leading blocks the sequence shares now.
func (c *prefixCache) store(prefix []uint64, held int) (shared int) {
	for _, hash := range prefix[held:] {
		c.private--
		b := c.blocks[hash]
		if b == nil {
			b = &cachedBlock{hash: hash}
			c.blocks[hash] = b
			c.changed(hash, true)
		}
		c.use(b)
	}
	return len(prefix)
}

// release gives back a sequence's blocks. The last blocks become the least recently
// used, as a prefix is worth more than what follows it.
func (c *prefixCache) release(prefix []uint64, held, private int) {
	c.private -= private
	for i := held - 1; i >= 0; i-- {
		b := c.blocks[prefix[i]]
		b.users--
		if b.users == 0 {
			b.element = c.unused.PushBack(b)
		}
	}
}

func (c *prefixCache) clear() {
	c.blocks = map[uint64]*cachedBlock{}
	c.unused.Init()
	c.private = 0
}

func (c *prefixCache) used() int { return c.private + len(c.blocks) - c.unused.Len() }
