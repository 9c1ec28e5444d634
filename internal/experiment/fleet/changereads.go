package fleet

import (
	"sync"

	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// changeReads counts how often each configuration change was read over the link between
// the regions. A nil *changeReads counts nothing.
type changeReads struct {
	mu    sync.Mutex
	reads map[string]int
}

// record counts the changes in a log record that was read over the link.
func (c *changeReads) record(data []byte) {
	if c == nil {
		return
	}
	batch := &recordv1.Batch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range batch.GetEntries() {
		if id := entry.GetConfig().GetChangeId(); id != "" {
			c.reads[id]++
		}
	}
}

// readOnce returns the number of changes that were read over the link exactly once, and
// the maximum number of reads of any change.
func (c *changeReads) readOnce() (readOnce, maxReads int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reads := range c.reads {
		if reads == 1 {
			readOnce++
		}
		maxReads = max(maxReads, reads)
	}
	return readOnce, maxReads
}
