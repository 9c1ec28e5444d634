package routing

import (
	"sync/atomic"
	"time"
)

const (
	historyTick  = 50 * time.Millisecond
	historyTicks = 64
)

// history is a count with its recent past, so that a late report can be compared with
// what the count was when its sample was taken. Without that the node's own requests
// would be taken for other nodes' work, or the other way round, and it would herd on
// engines that it had just filled itself. Racing writers may blur a tick.
type history struct {
	current atomic.Int64
	past    [historyTicks]historyEntry
}

type historyEntry struct {
	tick   atomic.Int64
	before atomic.Int64
	after  atomic.Int64
}

func (h *history) now() int64 { return h.current.Load() }

func (h *history) add(delta int64, at time.Time) {
	value := h.current.Add(delta)
	tick := at.UnixNano() / int64(historyTick)
	entry := &h.past[tick%historyTicks]
	if entry.tick.Swap(tick) != tick {
		entry.before.Store(value - delta)
	}
	entry.after.Store(value)
}

// at returns what the count was at a time within the last seconds.
func (h *history) at(then, now time.Time) int64 {
	tick := then.UnixNano() / int64(historyTick)
	if entry := &h.past[tick%historyTicks]; entry.tick.Load() == tick {
		return entry.after.Load()
	}
	last := now.UnixNano() / int64(historyTick)
	for next := tick + 1; next <= last && next < tick+historyTicks; next++ {
		if entry := &h.past[next%historyTicks]; entry.tick.Load() == next {
			return entry.before.Load()
		}
	}
	return h.current.Load()
}
