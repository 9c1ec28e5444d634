package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// outcome records the callbacks of one request.
type outcome struct {
	firstToken time.Duration
	end        time.Duration
	endCalls   int
	err        error
}

func submit(sim *Simulator, e *Engine, prefix []uint64, answerTokens, priority int) (*outcome, func()) {
	o := &outcome{}
	cancel := e.Submit(&Request{
		Prefix: prefix, PromptTokens: len(prefix)*64 + 10, AnswerTokens: answerTokens, MaxAnswerTokens: 256, Priority: priority,
		OnToken: func(at time.Time, n int) {
			if n == 1 {
				o.firstToken = at.Sub(start)
			}
		},
		OnEnd: func(at time.Time, err error) {
			o.end, o.err = at.Sub(start), err
			o.endCalls++
		},
	})
	return o, cancel
}

func makePrefix(first uint64, blocks int) []uint64 {
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
	cold, _ := submit(sim, e, makePrefix(1, 30), 1, 0)
	sim.RunUntil(start.Add(time.Second))
	warm, _ := submit(sim, e, makePrefix(1, 30), 1, 0)
	sim.RunUntil(start.Add(2 * time.Second))
	is.True(warm.firstToken-time.Second < cold.firstToken/4)
	is.Equal(e.Totals().CachedTokens, 30*64)
}

func TestAHigherPriorityGetsTheNextSlot(t *testing.T) {
	is := is.New(t)
	sim := NewSimulator(start)
	params := DefaultParams()
	params.Slots = 1
	e := NewEngine("e", params, sim, 1)
	_, _ = submit(sim, e, makePrefix(1, 2), 20, 0)
	low, _ := submit(sim, e, makePrefix(100, 2), 20, 0)
	high, _ := submit(sim, e, makePrefix(200, 2), 20, 1)
	sim.RunUntil(start.Add(time.Minute))
	is.True(high.firstToken < low.firstToken)
}

func TestADeadEngineEndsEveryRequestOnce(t *testing.T) {
	is := is.New(t)
	sim := NewSimulator(start)
	e := NewEngine("e", DefaultParams(), sim, 1)
	open, cancel := submit(sim, e, makePrefix(1, 2), 200, 0)
	sim.RunUntil(start.Add(time.Second))
	e.SetFaults(Faults{Dead: true})
	cancel()
	late, _ := submit(sim, e, makePrefix(1, 2), 1, 0)
	sim.RunUntil(start.Add(time.Minute))
	is.Equal([]any{open.err, open.endCalls, late.err, late.endCalls}, []any{ErrInterrupted, 1, ErrUnreachable, 1})
}

// Submits and cancels requests at random: each must end exactly once, and afterwards all
// memory must be free or evictable.
func TestEveryRequestEndsOnceAndFreesItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := NewSimulator(start)
		params := DefaultParams()
		params.Blocks = 64
		e := NewEngine("e", params, sim, 1)
		var outcomes []*outcome
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			o, cancel := submit(sim, e, makePrefix(uint64(rapid.IntRange(0, 3).Draw(t, "document"))*1000, rapid.IntRange(0, 30).Draw(t, "blocks")),
				rapid.IntRange(1, 50).Draw(t, "answer"), 0)
			outcomes = append(outcomes, o)
			if rapid.Bool().Draw(t, "cancel") {
				sim.After(time.Duration(rapid.IntRange(0, 3000).Draw(t, "after"))*time.Millisecond, cancel)
			}
			sim.RunUntil(sim.Now().Add(time.Duration(i) * time.Millisecond))
		}
		sim.RunUntil(sim.Now().Add(10 * time.Minute))
		for i, o := range outcomes {
			if o.endCalls != 1 {
				t.Fatal(fmt.Sprintf("request %d ended %d times", i, o.endCalls))
			}
		}
		if e.cache.privateBlocks != 0 || e.cache.usedBlocks() != 0 || len(e.cache.blocks) > params.Blocks {
			t.Fatalf("private blocks %d, used %d, cached %d", e.cache.privateBlocks, e.cache.usedBlocks(), len(e.cache.blocks))
		}
	})
}
