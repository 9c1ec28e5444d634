package enginemodel

import "time"

// LoadReport is an engine's report of its load.
type LoadReport struct {
	// Age is the age of the sample when the report arrives.
	Age     time.Duration
	Running int
	Waiting int
	// PendingTokens counts prompt tokens that are accepted and not yet prefilled.
	PendingTokens int
	// MemoryUsed is the fraction of KV memory in use by running sequences.
	MemoryUsed float64
}

// CacheEvent reports that a block was stored in or evicted from the prefix cache.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
}

// Listener receives an engine's load reports and cache events.
type Listener interface {
	OnLoadReport(engine string, report LoadReport)
	OnCacheEvents(engine string, events []CacheEvent)
}

// startReporting schedules the periodic reports to the listeners.
func (e *Engine) startReporting() {
	e.sim.After(e.params.ReportInterval, e.reportLoad)
	e.sim.After(e.params.EventInterval, e.reportCacheEvents)
}

func (e *Engine) reportLoad() {
	e.sim.After(e.params.ReportInterval, e.reportLoad)
	if e.faults.Dead || e.faults.Hang {
		return
	}
	report := e.Load()
	for _, l := range e.listeners {
		delay := e.randomDelay(e.params.MaxReportDelay)
		e.sim.After(delay, func() {
			delayed := report
			delayed.Age = delay
			l.OnLoadReport(e.Name, delayed)
		})
	}
}

func (e *Engine) reportCacheEvents() {
	e.sim.After(e.params.EventInterval, e.reportCacheEvents)
	events := e.pendingEvents
	e.pendingEvents = nil
	if len(events) == 0 {
		return
	}
	for _, l := range e.listeners {
		if e.rng.Float64() < e.params.EventLossRate {
			continue
		}
		e.sim.After(e.randomDelay(e.params.MaxEventDelay), func() { l.OnCacheEvents(e.Name, events) })
	}
}

func (e *Engine) randomDelay(limit time.Duration) time.Duration {
	return limit/2 + time.Duration(e.rng.Int64N(int64(limit/2)+1))
}
