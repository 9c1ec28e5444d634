package routing

import (
	"sync/atomic"
	"time"
)

const (
	historyTick  = 50 * time.Millisecond
	historyTicks = 64
)

// history is a counter with its recent values, so that a late report can be compared with the
// count at the time of its sample. Otherwise the node's own requests would be attributed to
// other nodes, or the reverse, and the node would herd on engines that it had just filled
// itself. Concurrent writers may make one tick inexact.
type history struct {
	current atomic.Int64
	past    [historyTicks]historyEntry
}

type historyEntry struct {
	tick   atomic.Int64
	before atomic.Int64
	after  atomic.Int64
}

func (h *history) value() int64 { return h.current.Load() }

func (h *history) add(delta int64, at time.Time) {
	value := h.current.Add(delta)
	tick := at.UnixNano() / int64(historyTick)
	entry := &h.past[tick%historyTicks]
	if entry.tick.Swap(tick) != tick {
		entry.before.Store(value - delta)
	}
	entry.after.Store(value)
}

// valueAt returns the count at a time within the last historyTick * historyTicks (3.2 s).
func (h *history) valueAt(at, now time.Time) int64 {
	tick := at.UnixNano() / int64(historyTick)
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
