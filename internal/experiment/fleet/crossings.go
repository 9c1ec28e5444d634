package fleet

import (
	"sync"

	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// crossings counts how often each change was read over the link between the regions.
// A nil one counts nothing.
type crossings struct {
	mu    sync.Mutex
	times map[string]int
}

// add takes in a record that crossed.
func (c *crossings) add(data []byte) {
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
			c.times[id]++
		}
	}
}

// once returns how many changes crossed exactly once, and the most that any did.
func (c *crossings) once() (once, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, times := range c.times {
		if times == 1 {
			once++
		}
		most = max(most, times)
	}
	return once, most
}
