package enginemodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Engine is one model engine. It is driven by its simulator and not safe for
// concurrent use.
type Engine struct {
	Name string

	params    Params
	sim       *Simulator
	random    *rand.Rand
	faults    Faults
	cache     *prefixCache
	waiting   []*sequence
	running   []*sequence
	arrivals  uint64
	stepping  bool
	epoch     int
	listeners []Listener
	events    []CacheEvent
	sequence  uint64
	totals    Totals
}

// Totals counts what an engine did.
type Totals struct {
	PromptTokens  int
	CachedTokens  int
	DecodedTokens int
	WastedTokens  int
	Requests      int
}

// NewEngine returns an idle engine with an empty cache.
func NewEngine(name string, params Params, sim *Simulator, seed uint64, listeners ...Listener) *Engine {
	e := &Engine{Name: name, params: params, sim: sim, random: rand.New(rand.NewPCG(seed, 1)), listeners: listeners}
	e.cache = newPrefixCache(params.Blocks, e.cacheChanged)
	e.publish()
	return e
}

// Totals returns what the engine did so far.
func (e *Engine) Totals() Totals { return e.totals }

// Load returns the load at this moment.
func (e *Engine) Load() LoadReport {
	report := LoadReport{Running: len(e.running), Waiting: len(e.waiting),
		MemoryUsed: float64(e.cache.used()) / float64(e.params.Blocks)}
	for _, s := range e.running {
		report.PendingTokens += s.prefillLeft
	}
	for _, s := range e.waiting {
		report.PendingTokens += s.PromptTokens
	}
	return report
}

// SetFaults changes the fault switches. An engine that dies loses its cache.
func (e *Engine) SetFaults(f Faults) {
	died := f.Dead && !e.faults.Dead
	e.faults = f
	if died {
		e.die()
	}
	e.wake()
}

func (e *Engine) die() {
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.stepping = nil, nil, false
	e.epoch++
	e.cache.clear()
	for _, s := range lost {
		e.totals.WastedTokens += s.decoded + s.PromptTokens - s.prefillLeft
		s.end(e.sim.Now(), ErrInterrupted)
	}
}

// Submit queues a request. The returned function cancels it.
func (e *Engine) Submit(r *Request) (cancel func()) {
	e.arrivals++
	s := &sequence{Request: r, arrival: e.arrivals, prefillLeft: r.PromptTokens}
	e.totals.Requests++
	switch {
	case e.faults.Dead:
		s.end(e.sim.Now(), ErrUnreachable)
	case e.random.Float64() < e.faults.ErrorRate:
		s.end(e.sim.Now(), ErrFailed)
	default:
		e.enqueue(s)
		e.wake()
	}
	return func() { e.cancel(s) }
}

// enqueue keeps the waiting requests by priority, then by arrival.
func (e *Engine) enqueue(s *sequence) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].Priority < s.Priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
}

func (e *Engine) cancel(s *sequence) {
	if s.over {
		return
	}
	for i, held := range e.waiting {
		if held == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
		}
	}
	for i, held := range e.running {
		if held == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.cache.release(s.Prefix, s.held, s.private)
			e.totals.WastedTokens += s.decoded + s.PromptTokens - s.prefillLeft
		}
	}
	s.end(e.sim.Now(), ErrCancelled)
}

// wake starts a step unless one is running.
func (e *Engine) wake() {
	if e.stepping || e.faults.Hang || e.faults.Dead {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	prefill, decodes := e.plan()
	took := e.params.StepOverhead + time.Duration(prefill)*e.params.PerPrefillToken + time.Duration(decodes)*e.params.PerDecodeToken
	if e.faults.SlowFactor > 0 {
		took = time.Duration(float64(took) * e.faults.SlowFactor)
	}
	epoch := e.epoch
	e.sim.After(took, func() {
		if epoch == e.epoch {
			e.finishStep()
		}
	})
}

// admit gives slots to waiting requests as far as slots and memory go.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.params.Slots {
		s := e.waiting[0]
		held := e.cache.match(s.Prefix)
		blocks := (s.PromptTokens + s.MaxAnswerTokens + e.params.BlockTokens - 1) / e.params.BlockTokens
		if !e.cache.take(s.Prefix, held, blocks-held) {
			return
		}
		e.waiting = e.waiting[1:]
		s.held, s.private = held, blocks-held
		s.cached = min(held*e.params.BlockTokens, s.PromptTokens-1)
		s.prefillLeft = s.PromptTokens - s.cached
		e.totals.PromptTokens += s.PromptTokens
		e.totals.CachedTokens += s.cached
		e.running = append(e.running, s)
	}
}

func (e *Engine) plan() (prefill, decodes int) {
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decodes++
			continue
		}
		prefill += min(s.prefillLeft, e.params.ChunkTokens-prefill)
	}
	return prefill, decodes
}

// finishStep applies a step's progress. Requests that arrived meanwhile, and those
// cancelled, change only the next step's plan.
func (e *Engine) finishStep() {
	e.stepping = false
	if e.faults.Hang {
		return
	}
	budget := e.params.ChunkTokens
	for _, s := range append([]*sequence(nil), e.running...) {
		if !s.over {
			budget -= e.advance(s, budget)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.over })
	e.wake()
}

// advance moves one sequence by a step and returns the prompt tokens prefilled.
func (e *Engine) advance(s *sequence, budget int) int {
	done := 0
	if s.prefillLeft > 0 {
		done = min(s.prefillLeft, budget)
		s.prefillLeft -= done
		if s.prefillLeft > 0 {
			return done
		}
		moved := len(s.Prefix) - s.held
		s.held = e.cache.store(s.Prefix, s.held)
		s.private -= moved
	}
	s.decoded++
	e.totals.DecodedTokens++
	if s.decoded == 1 && e.random.Float64() < e.faults.CrossRate {
		e.totals.WastedTokens += s.PromptTokens + s.decoded
		e.finish(s, ErrCrossed)
		return done
	}
	if s.OnToken != nil {
		s.OnToken(e.sim.Now(), s.decoded)
	}
	if s.decoded >= s.AnswerTokens {
		e.finish(s, nil)
	}
	return done
}

func (e *Engine) finish(s *sequence, err error) {
	e.cache.release(s.Prefix, s.held, s.private)
	s.end(e.sim.Now(), err)
}

func (e *Engine) cacheChanged(hash uint64, stored bool) {
	e.sequence++
	e.events = append(e.events, CacheEvent{Sequence: e.sequence, Hash: hash, Stored: stored})
}
