package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// loadGenerator draws random requests and sends them at their drawn times.
type loadGenerator struct {
	client  *client
	options Options
	// targets are node addresses; engines are addresses for direct requests, the baseline.
	targets, engines []string

	mu       sync.Mutex
	outcomes []outcome
}

// run sends requests for the given duration and returns when the last is answered.
// directShare is the share of completions sent directly to an engine.
func (l *loadGenerator) run(ctx context.Context, name string, duration time.Duration, directShare float64) []outcome {
	rng := rand.New(rand.NewPCG(l.options.Seed, uint64(len(name))))
	l.outcomes = nil
	start := time.Now()
	offset := time.Duration(0)
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		offset += time.Duration(rng.ExpFloat64() / l.options.Rate * float64(time.Second))
		if offset > duration {
			break
		}
		send := l.nextRequest(rng, fmt.Sprintf("%s-%d", name, i), directShare)
		time.Sleep(time.Until(start.Add(offset)))
		wg.Go(func() { l.addOutcome(send(ctx)) })
	}
	wg.Wait()
	return l.outcomes
}

func (l *loadGenerator) addOutcome(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *loadGenerator) nextRequest(rng *rand.Rand, id string, directShare float64) func(context.Context) outcome {
	draw := rng.Float64()
	words := minWords + rng.IntN(maxWords-minWords)
	target := l.targets[rng.IntN(len(l.targets))]
	direct := len(l.engines) > 0 && rng.Float64() < directShare
	if draw < l.options.PlainShare && directShare < 1 {
		return func(ctx context.Context) outcome { return l.client.callPlain(ctx, target, id) }
	}
	kind := kindUnary
	if draw < l.options.PlainShare+l.options.StreamShare {
		kind = kindStream
	}
	if direct {
		kind, target = kindDirect, l.engines[rng.IntN(len(l.engines))]
	}
	prompt := makePrompt(id, words)
	return func(ctx context.Context) outcome { return l.client.chat(ctx, kind, target, id, prompt) }
}

func makePrompt(id string, words int) string {
	parts := []string{id}
	for i := range words {
		parts = append(parts, fmt.Sprintf("w%d", i))
	}
	return strings.Join(parts, " ")
}
