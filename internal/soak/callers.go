package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// callers is how many call at once: with callEvery some 130 calls a second, which leaves
	// a few dozen processes room on one machine.
	callers = 8
	// callEvery is a caller's mean pause between two calls.
	callEvery = 60 * time.Millisecond
	// keepAddresses is how long callers keep an answer about addresses: as long as nodes
	// allow.
	keepAddresses = 2 * time.Second
	// deadline is how long callers wait for an answer: longer than most faults of a plan
	// last, so that calls meet their ends too.
	deadline = 3 * time.Second
	// prompt and mostOutput are the tokens of a call.
	prompt     = 300
	mostOutput = eventsOfStream * standin.TokensPerEvent
)

// record is one call with what its caller saw.
type record struct {
	call    standin.Call
	account string
	node    string
	at, end time.Time
	outcome standin.Outcome
}

// load is the callers' calls.
type load struct {
	fleet *fleet
	seed  uint64

	mu      sync.Mutex
	records []record
}

// run calls until ctx ends.
func (l *load) run(ctx context.Context) {
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() { l.caller(ctx, i) })
	}
	wait.Wait()
}

func (l *load) caller(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(l.seed, uint64(100+number)))
	c := standin.NewCaller()
	defer c.Close()
	var addresses []string
	asked := time.Time{}
	for sent := 0; ctx.Err() == nil; sent++ {
		time.Sleep(time.Duration(r.Int64N(int64(2 * callEvery))))
		if time.Since(asked) > keepAddresses {
			if found := l.resolve(ctx, c, r); len(found) > 0 {
				addresses, asked = found, time.Now()
			}
		}
		if len(addresses) == 0 {
			continue
		}
		l.call(ctx, c, r, addresses[r.IntN(len(addresses))], fmt.Sprintf("%d-%d-%d", l.seed, number, sent))
	}
}

func (l *load) resolve(ctx context.Context, c *standin.Caller, r *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	found, err := c.Resolve(ctx, l.fleet.nodes[r.IntN(len(l.fleet.nodes))].directory)
	if err != nil {
		return nil // the node is down; another is asked at the next call
	}
	return found
}

func (l *load) call(ctx context.Context, c *standin.Caller, r *rand.Rand, address, id string) {
	routes := []standin.Route{standin.StreamRoute, standin.NonResumableRoute, standin.OrderRoute, standin.LookupRoute}
	if added := l.fleet.added(); len(added) > 0 {
		routes = append(routes, added[r.IntN(len(added))].kind)
	}
	account := []string{"one", "two"}[r.IntN(2)]
	rec := record{account: account, node: address, at: time.Now(),
		call: standin.Call{ID: id, Route: routes[r.IntN(len(routes))], Key: "key-" + account, PromptTokens: prompt, MaxOutputTokens: mostOutput, Deadline: deadline}}
	rec.outcome = c.Do(context.WithoutCancel(ctx), address, rec.call)
	rec.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, rec)
}
