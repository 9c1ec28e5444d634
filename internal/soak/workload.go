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
	// callerCount is the number of concurrent callers: with meanCallInterval about 130 calls a
	// second, which leaves room for a few dozen processes on one machine.
	callerCount = 8
	// meanCallInterval is a caller's mean pause between two calls.
	meanCallInterval = 60 * time.Millisecond
	// addressTTL is how long callers keep resolved addresses: as long as nodes allow.
	addressTTL = 2 * time.Second
	// callTimeout is how long callers wait for a response: longer than most faults of a plan
	// last, so that some calls outlast a fault.
	callTimeout = 3 * time.Second
	// promptTokens and maxOutputTokens are the tokens of a call.
	promptTokens    = 300
	maxOutputTokens = eventsPerStream * standin.TokensPerEvent
)

// callRecord is one call with what its caller observed.
type callRecord struct {
	call       standin.Call
	account    string
	node       string
	start, end time.Time
	outcome    standin.Outcome
}

// workload is the concurrent callers and the records of their calls.
type workload struct {
	fleet *fleet
	seed  uint64

	mu      sync.Mutex
	records []callRecord
}

// run makes calls until ctx ends.
func (w *workload) run(ctx context.Context) {
	var wait sync.WaitGroup
	for i := range callerCount {
		wait.Go(func() { w.runCaller(ctx, i) })
	}
	wait.Wait()
}

func (w *workload) runCaller(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(w.seed, uint64(100+number)))
	c := standin.NewCaller()
	defer c.Close()
	var addresses []string
	resolvedAt := time.Time{}
	for sent := 0; ctx.Err() == nil; sent++ {
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanCallInterval))))
		if time.Since(resolvedAt) > addressTTL {
			if resolved := w.resolve(ctx, c, r); len(resolved) > 0 {
				addresses, resolvedAt = resolved, time.Now()
			}
		}
		if len(addresses) == 0 {
			continue
		}
		w.call(ctx, c, r, addresses[r.IntN(len(addresses))], fmt.Sprintf("%d-%d-%d", w.seed, number, sent))
	}
}

func (w *workload) resolve(ctx context.Context, c *standin.Caller, r *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	addresses, err := c.Resolve(ctx, w.fleet.nodes[r.IntN(len(w.fleet.nodes))].directory)
	if err != nil {
		return nil // the node is down; the next call asks another
	}
	return addresses
}

func (w *workload) call(ctx context.Context, c *standin.Caller, r *rand.Rand, address, id string) {
	routes := []standin.Route{standin.StreamRoute, standin.NonResumableRoute, standin.OrderRoute, standin.LookupRoute}
	if added := w.fleet.addedRoutes(); len(added) > 0 {
		routes = append(routes, added[r.IntN(len(added))].route)
	}
	account := []string{"one", "two"}[r.IntN(2)]
	rec := callRecord{account: account, node: address, start: time.Now(),
		call: standin.Call{ID: id, Route: routes[r.IntN(len(routes))], Key: "key-" + account, PromptTokens: promptTokens, MaxOutputTokens: maxOutputTokens, Deadline: callTimeout}}
	rec.outcome = c.Do(context.WithoutCancel(ctx), address, rec.call)
	rec.end = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, rec)
}
