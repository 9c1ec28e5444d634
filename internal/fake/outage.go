package fake

import "time"

// EngineOutage is a period during which an engine's process was down.
type EngineOutage struct {
	Upstream string
	From     time.Time
	// Until is zero while the engine is still down.
	Until time.Time
}

// Attempt is a completion that a node tried to send to an engine.
type Attempt struct {
	Upstream string
	Node     string
	Request  string
	At       time.Time
}

// KillEngine ends an engine's process: its runs are cut, and connections to it are refused
// until RestartEngine.
func (u *Upstreams) KillEngine(engine string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down[engine] {
		return
	}
	u.down[engine] = true
	u.outages = append(u.outages, EngineOutage{Upstream: engine, From: u.clock.Now()})
	for _, run := range u.runs {
		if run.Upstream == engine && !run.Finished {
			run.Cancelled = true
		}
	}
}

// RestartEngine starts an engine again with empty memory: no cache, no usage of finished
// requests, and cache events numbered from one.
func (u *Upstreams) RestartEngine(engine string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.down[engine] {
		return
	}
	delete(u.down, engine)
	delete(u.caches, engine)
	delete(u.engines, engine)
	for _, run := range u.runs {
		if run.Upstream == engine {
			delete(u.runsByKey, engine+"/"+run.Request)
		}
	}
	for i := range u.outages {
		if u.outages[i].Upstream == engine && u.outages[i].Until.IsZero() {
			u.outages[i].Until = u.clock.Now()
		}
	}
}

// BusiestCache returns the running engine among those given whose cache published the most
// events; empty for none.
func (u *Upstreams) BusiestCache(engines []string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	busiest, most := "", uint64(0)
	for _, engine := range engines {
		if cache := u.caches[engine]; cache != nil && cache.sequence > most && !u.down[engine] {
			busiest, most = engine, cache.sequence
		}
	}
	return busiest
}

// Outages returns the outages of all engines.
func (u *Upstreams) Outages() []EngineOutage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]EngineOutage(nil), u.outages...)
}

// Attempts returns the completions that nodes tried to send to engines.
func (u *Upstreams) Attempts() []Attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Attempt(nil), u.attempts...)
}

func (u *Upstreams) recordAttempt(engine string, node Endpoint, request string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts = append(u.attempts, Attempt{Upstream: engine, Node: string(node), Request: request, At: u.clock.Now()})
}

func (u *Upstreams) isDown(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.down[name]
}
