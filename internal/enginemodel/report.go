package enginemodel

import "time"

// LoadReport is what an engine says of its load.
type LoadReport struct {
	// Age of the sample when the report arrives.
	Age     time.Duration
	Running int
	Waiting int
	// PendingTokens are prompt tokens accepted and not yet prefilled.
	PendingTokens int
	// MemoryUsed is the share of KV memory that running sequences use.
	MemoryUsed float64
}

// CacheEvent tells that a block was stored in or dropped from the prefix cache.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
}

// Listener is told of an engine's reports and cache events.
type Listener interface {
	OnLoadReport(engine string, report LoadReport)
	OnCacheEvents(engine string, events []CacheEvent)
}

// publish starts the engine's periodic reports to the listeners.
func (e *Engine) publish() {
	e.sim.After(e.params.ReportInterval, e.reportLoad)
	e.sim.After(e.params.EventInterval, e.reportEvents)
}

func (e *Engine) reportLoad() {
	e.sim.After(e.params.ReportInterval, e.reportLoad)
	if e.faults.Dead || e.faults.Hang {
		return
	}
	report := e.Load()
	for _, l := range e.listeners {
		lag := e.lag(e.params.MaxReportDelay)
		e.sim.After(lag, func() {
			late := report
			late.Age = lag
			l.OnLoadReport(e.Name, late)
		})
	}
}

func (e *Engine) reportEvents() {
	e.sim.After(e.params.EventInterval, e.reportEvents)
	events := e.events
	e.events = nil
	if len(events) == 0 {
		return
	}
	for _, l := range e.listeners {
		if e.random.Float64() < e.params.EventLossRate {
			continue
		}
		e.sim.After(e.lag(e.params.MaxEventDelay), func() { l.OnCacheEvents(e.Name, events) })
	}
}

func (e *Engine) lag(bound time.Duration) time.Duration {
	return bound/2 + time.Duration(e.random.Int64N(int64(bound/2)+1))
}
