package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// load draws requests and sends them at their times.
type load struct {
	client  *client
	options Options
	// targets are the nodes; engines are asked straight, to compare with.
	targets, engines []string

	mu       sync.Mutex
	outcomes []outcome
}

// run sends requests for a while; direct is the share of completions that go
// straight to an engine. It returns when the last is answered.
func (l *load) run(ctx context.Context, name string, duration time.Duration, direct float64) []outcome {
	r := rand.New(rand.NewPCG(l.options.Seed, uint64(len(name))))
	l.outcomes = nil
	began := time.Now()
	at := time.Duration(0)
	var wait sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		at += time.Duration(r.ExpFloat64() / l.options.Rate * float64(time.Second))
		if at > duration {
			break
		}
		send := l.draw(r, fmt.Sprintf("%s-%d", name, i), direct)
		time.Sleep(time.Until(began.Add(at)))
		wait.Go(func() { l.keep(send(ctx)) })
	}
	wait.Wait()
	return l.outcomes
}

func (l *load) keep(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *load) draw(r *rand.Rand, id string, direct float64) func(context.Context) outcome {
	draw := r.Float64()
	words := minWords + r.IntN(maxWords-minWords)
	target := l.targets[r.IntN(len(l.targets))]
	isDirect := len(l.engines) > 0 && r.Float64() < direct
	if draw < l.options.PlainShare && direct < 1 {
		return func(ctx context.Context) outcome { return l.client.call(ctx, target, id) }
	}
	k := kindWhole
	if draw < l.options.PlainShare+l.options.StreamShare {
		k = kindStream
	}
	if isDirect {
		k, target = kindDirect, l.engines[r.IntN(len(l.engines))]
	}
	prompt := promptOf(id, words)
	return func(ctx context.Context) outcome { return l.client.chat(ctx, k, target, id, prompt) }
}

func promptOf(id string, words int) string {
	parts := []string{id}
	for i := range words {
		parts = append(parts, fmt.Sprintf("w%d", i))
	}
	return strings.Join(parts, " ")
}
