package enginemodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Engine is a simulated engine. It is driven by its Simulator and is not safe for
// concurrent use.
type Engine struct {
	Name string

	params            Params
	sim               *Simulator
	rng               *rand.Rand
	faults            Faults
	cache             *prefixCache
	waiting           []*sequence
	running           []*sequence
	arrivals          uint64
	stepping          bool
	epoch             int
	listeners         []Listener
	pendingEvents     []CacheEvent
	lastEventSequence uint64
	totals            Totals
}

// Totals holds an engine's cumulative counters.
type Totals struct {
	PromptTokens  int
	CachedTokens  int
	DecodedTokens int
	WastedTokens  int
	Requests      int
}

// NewEngine returns an idle engine with an empty cache.
func NewEngine(name string, params Params, sim *Simulator, seed uint64, listeners ...Listener) *Engine {
	e := &Engine{Name: name, params: params, sim: sim, rng: rand.New(rand.NewPCG(seed, 1)), listeners: listeners}
	e.cache = newPrefixCache(params.Blocks, e.cacheChanged)
	e.startReporting()
	return e
}

// Totals returns the counters so far.
func (e *Engine) Totals() Totals { return e.totals }

// Load returns the current load, with Age 0.
func (e *Engine) Load() LoadReport {
	report := LoadReport{Running: len(e.running), Waiting: len(e.waiting),
		MemoryUsed: float64(e.cache.usedBlocks()) / float64(e.params.Blocks)}
	for _, s := range e.running {
		report.PendingTokens += s.prefillLeft
	}
	for _, s := range e.waiting {
		report.PendingTokens += s.PromptTokens
	}
	return report
}

// SetFaults replaces the injected faults. An engine that becomes dead loses its cache.
func (e *Engine) SetFaults(f Faults) {
	crashed := f.Dead && !e.faults.Dead
	e.faults = f
	if crashed {
		e.crash()
	}
	e.startStep()
}

func (e *Engine) crash() {
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.stepping = nil, nil, false
	e.epoch++
	e.cache.reset()
	for _, s := range lost {
		e.totals.WastedTokens += s.decoded + s.PromptTokens - s.prefillLeft
		s.end(e.sim.Now(), ErrInterrupted)
	}
}

// Submit enqueues a request. The returned function cancels it.
func (e *Engine) Submit(r *Request) (cancel func()) {
	e.arrivals++
	s := &sequence{Request: r, arrival: e.arrivals, prefillLeft: r.PromptTokens}
	e.totals.Requests++
	switch {
	case e.faults.Dead:
		s.end(e.sim.Now(), ErrUnreachable)
	case e.rng.Float64() < e.faults.ErrorRate:
		s.end(e.sim.Now(), ErrFailed)
	default:
		e.enqueue(s)
		e.startStep()
	}
	return func() { e.cancel(s) }
}

// enqueue inserts s into the waiting queue, ordered by priority and then by arrival.
func (e *Engine) enqueue(s *sequence) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Priority < s.Priority {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
}

func (e *Engine) cancel(s *sequence) {
	if s.ended {
		return
	}
	for i, other := range e.waiting {
		if other == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
		}
	}
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.cache.release(s.Prefix, s.sharedBlocks, s.privateBlocks)
			e.totals.WastedTokens += s.decoded + s.PromptTokens - s.prefillLeft
		}
	}
	s.end(e.sim.Now(), ErrCancelled)
}

// startStep starts the next step unless one is already running or no sequence can run.
func (e *Engine) startStep() {
	if e.stepping || e.faults.Hang || e.faults.Dead {
		return
	}
	e.admitWaiting()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	prefill, decodes := e.planStep()
	duration := e.params.StepOverhead + time.Duration(prefill)*e.params.PerPrefillToken + time.Duration(decodes)*e.params.PerDecodeToken
	if e.faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	}
	epoch := e.epoch
	e.sim.After(duration, func() {
		if epoch == e.epoch {
			e.finishStep()
		}
	})
}

// admitWaiting admits waiting requests to the batch while slots and memory suffice.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.params.Slots {
		s := e.waiting[0]
		hits := e.cache.match(s.Prefix)
		blocks := (s.PromptTokens + s.MaxAnswerTokens + e.params.BlockTokens - 1) / e.params.BlockTokens
		if !e.cache.allocate(s.Prefix, hits, blocks-hits) {
			return
		}
		e.waiting = e.waiting[1:]
		s.sharedBlocks, s.privateBlocks = hits, blocks-hits
		s.cachedTokens = min(hits*e.params.BlockTokens, s.PromptTokens-1)
		s.prefillLeft = s.PromptTokens - s.cachedTokens
		e.totals.PromptTokens += s.PromptTokens
		e.totals.CachedTokens += s.cachedTokens
		e.running = append(e.running, s)
	}
}

func (e *Engine) planStep() (prefill, decodes int) {
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decodes++
			continue
		}
		prefill += min(s.prefillLeft, e.params.ChunkTokens-prefill)
	}
	return prefill, decodes
}

// finishStep applies the progress of a step. Requests that arrived or were cancelled
// during the step affect only the plan of the next one.
func (e *Engine) finishStep() {
	e.stepping = false
	if e.faults.Hang {
		return
	}
	budget := e.params.ChunkTokens
	for _, s := range append([]*sequence(nil), e.running...) {
		if !s.ended {
			budget -= e.advance(s, budget)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.ended })
	e.startStep()
}

// advance applies one step to a sequence and returns the prompt tokens prefilled.
func (e *Engine) advance(s *sequence, budget int) int {
	prefilled := 0
	if s.prefillLeft > 0 {
		prefilled = min(s.prefillLeft, budget)
		s.prefillLeft -= prefilled
		if s.prefillLeft > 0 {
			return prefilled
		}
		newlyShared := len(s.Prefix) - s.sharedBlocks
		s.sharedBlocks = e.cache.share(s.Prefix, s.sharedBlocks)
		s.privateBlocks -= newlyShared
	}
	s.decoded++
	e.totals.DecodedTokens++
	if s.decoded == 1 && e.rng.Float64() < e.faults.CrossRate {
		e.totals.WastedTokens += s.PromptTokens + s.decoded
		e.finish(s, ErrCrossed)
		return prefilled
	}
	if s.OnToken != nil {
		s.OnToken(e.sim.Now(), s.decoded)
	}
	if s.decoded >= s.AnswerTokens {
		e.finish(s, nil)
	}
	return prefilled
}

func (e *Engine) finish(s *sequence, err error) {
	e.cache.release(s.Prefix, s.sharedBlocks, s.privateBlocks)
	s.end(e.sim.Now(), err)
}

func (e *Engine) cacheChanged(hash uint64, stored bool) {
	e.lastEventSequence++
	e.pendingEvents = append(e.pendingEvents, CacheEvent{Sequence: e.lastEventSequence, Hash: hash, Stored: stored})
}
