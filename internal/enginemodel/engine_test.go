package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// outcome is what a test saw of one request.
type outcome struct {
	first time.Duration
	end   time.Duration
	ended int
	err   error
}

func submit(sim *Simulator, e *Engine, prefix []uint64, answer, priority int) (*outcome, func()) {
	seen := &outcome{}
	cancel := e.Submit(&Request{
		Prefix: prefix, PromptTokens: len(prefix)*64 + 10, AnswerTokens: answer, MaxAnswerTokens: 256, Priority: priority,
		OnToken: func(at time.Time, n int) {
			if n == 1 {
				seen.first = at.Sub(start)
			}
		},
		OnEnd: func(at time.Time, err error) {
			seen.end, seen.err = at.Sub(start), err
			seen.ended++
		},
	})
	return seen, cancel
}

func prefix(first uint64, blocks int) []uint64 {
	hashes := make([]uint64, blocks)
	for i := range hashes {
		hashes[i] = first + uint64(i)
	}
	return hashes
}

func TestACachedPrefixIsNotPrefilledAgain(t *testing.T) {
	is := is.New(t)
	sim := NewSimulator(start)
	e := NewEngine("e", DefaultParams(), sim, 1)
	cold, _ := submit(sim, e, prefix(1, 30), 1, 0)
	sim.RunUntil(start.Add(time.Second))
	warm, _ := submit(sim, e, prefix(1, 30), 1, 0)
	sim.RunUntil(start.Add(2 * time.Second))
	is.True(warm.first-time.Second < cold.first/4)
	is.Equal(e.Totals().CachedTokens, 30*64)
}

func TestAHigherPriorityGetsTheNextSlot(t *testing.T) {
	is := is.New(t)
	sim := NewSimulator(start)
	params := DefaultParams()
	params.Slots = 1
	e := NewEngine("e", params, sim, 1)
	_, _ = submit(sim, e, prefix(1, 2), 20, 0)
	low, _ := submit(sim, e, prefix(100, 2), 20, 0)
	high, _ := submit(sim, e, prefix(200, 2), 20, 1)
	sim.RunUntil(start.Add(time.Minute))
	is.True(high.first < low.first)
}

func TestADeadEngineEndsEveryRequestOnce(t *testing.T) {
	is := is.New(t)
	sim := NewSimulator(start)
	e := NewEngine("e", DefaultParams(), sim, 1)
	open, cancel := submit(sim, e, prefix(1, 2), 200, 0)
	sim.RunUntil(start.Add(time.Second))
	e.SetFaults(Faults{Dead: true})
	cancel()
	late, _ := submit(sim, e, prefix(1, 2), 1, 0)
	sim.RunUntil(start.Add(time.Minute))
	is.Equal([]any{open.err, open.ended, late.err, late.ended}, []any{ErrInterrupted, 1, ErrUnreachable, 1})
}

// Whatever is submitted and cancelled, each request ends once and all memory is
// free or reusable afterwards.
func TestEveryRequestEndsOnceAndFreesItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := NewSimulator(start)
		params := DefaultParams()
		params.Blocks = 64
		e := NewEngine("e", params, sim, 1)
		var seen []*outcome
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			o, cancel := submit(sim, e, prefix(uint64(rapid.IntRange(0, 3).Draw(t, "document"))*1000, rapid.IntRange(0, 30).Draw(t, "blocks")),
				rapid.IntRange(1, 50).Draw(t, "answer"), 0)
			seen = append(seen, o)
			if rapid.Bool().Draw(t, "cancel") {
				sim.After(time.Duration(rapid.IntRange(0, 3000).Draw(t, "after"))*time.Millisecond, cancel)
			}
			sim.RunUntil(sim.Now().Add(time.Duration(i) * time.Millisecond))
		}
		sim.RunUntil(sim.Now().Add(10 * time.Minute))
		for i, o := range seen {
			if o.ended != 1 {
				t.Fatal(fmt.Sprintf("request %d ended %d times", i, o.ended))
			}
		}
		if e.cache.private != 0 || e.cache.used() != 0 || len(e.cache.blocks) > params.Blocks {
			t.Fatalf("private %d, used %d, held %d", e.cache.private, e.cache.used(), len(e.cache.blocks))
		}
	})
}
