package fake

import "time"

// EngineOutage is a span within which an engine's process was gone.
type EngineOutage struct {
	Upstream string
	From     time.Time
	// Until is zero for an engine that is still gone.
	Until time.Time
}

// Attempt is a completion that a node tried to send to an engine.
type Attempt struct {
	Upstream string
	Node     string
	Request  string
	At       time.Time
}

// KillEngine ends an engine's process: what it runs is cut, and connections to it
// are refused until ReviveEngine.
func (u *Upstreams) KillEngine(engine string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead[engine] {
		return
	}
	u.dead[engine] = true
	u.deaths = append(u.deaths, EngineOutage{Upstream: engine, From: u.clock.Now()})
	for _, run := range u.runs {
		if run.Upstream == engine && !run.Finished {
			run.Cancelled = true
		}
	}
}

// RestartEngine starts an engine again with nothing in its memory: no cache, no count
// of finished requests, and cache events numbered from one.
func (u *Upstreams) RestartEngine(engine string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.dead[engine] {
		return
	}
	delete(u.dead, engine)
	delete(u.caches, engine)
	delete(u.engines, engine)
	for _, run := range u.runs {
		if run.Upstream == engine {
			delete(u.byID, engine+"/"+run.Request)
		}
	}
	for i := range u.deaths {
		if u.deaths[i].Upstream == engine && u.deaths[i].Until.IsZero() {
			u.deaths[i].Until = u.clock.Now()
		}
	}
}

// BusiestCache names the living engine whose cache told most events, among those
// given; empty for none.
func (u *Upstreams) BusiestCache(engines []string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	busiest, most := "", uint64(0)
	for _, engine := range engines {
		if cache := u.caches[engine]; cache != nil && cache.sequence > most && !u.dead[engine] {
			busiest, most = engine, cache.sequence
		}
	}
	return busiest
}

// Outages returns the engines' deaths.
func (u *Upstreams) Outages() []EngineOutage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]EngineOutage(nil), u.deaths...)
}

// Attempts returns the completions that nodes tried to send.
func (u *Upstreams) Attempts() []Attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Attempt(nil), u.attempts...)
}

func (u *Upstreams) attempted(engine string, node Endpoint, request string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts = append(u.attempts, Attempt{Upstream: engine, Node: string(node), Request: request, At: u.clock.Now()})
}

func (u *Upstreams) isDead(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead[name]
}
