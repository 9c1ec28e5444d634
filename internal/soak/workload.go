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
	// streamCallerCount is the number of callers of long streams, meanStreamInterval their mean
	// pause before the next stream, which they start while others are still running.
	streamCallerCount  = 6
	meanStreamInterval = 300 * time.Millisecond
	// addressTTL is how long callers may keep resolved addresses, staleTTL how long some do.
	addressTTL = 2 * time.Second
	staleTTL   = 3 * addressTTL
	// callTimeout is how long callers wait for a response: longer than most faults of a plan
	// last, so that some calls outlast a fault.
	callTimeout = 3 * time.Second
	// longStreamTimeout is the time limit of long streams: none of them reaches it.
	longStreamTimeout = 15 * time.Second
	// maxEventInterval makes the longest streams last as long as a grace period.
	maxEventInterval = stopTimeout / eventsPerStream
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

// run makes calls until ctx ends, and long streams until streamCtx ends.
func (w *workload) run(ctx, streamCtx context.Context) {
	var wait sync.WaitGroup
	for i := range callerCount {
		wait.Go(func() { w.runCaller(ctx, i) })
	}
	for i := range streamCallerCount {
		wait.Go(func() { w.runStreamCaller(streamCtx, i) })
	}
	for i := range resumingCallerCount {
		wait.Go(func() { w.runResumingCaller(streamCtx, i) })
	}
	wait.Go(func() { w.runOverdueCaller(streamCtx) })
	wait.Go(func() { w.runBadCaller(ctx) })
	wait.Go(func() { w.runRepeatingCaller(ctx, streamsThatCrash) })
	wait.Go(func() { w.runRepeatingCaller(ctx, callsThatCrash) })
	wait.Go(func() { w.runRepeatingCaller(ctx, copiesThatCrash) })
	wait.Wait()
}

func (w *workload) runCaller(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(w.seed, uint64(100+number)))
	c := standin.NewCaller()
	defer c.Close()
	book := newAddressBook(w.fleet, c, number)
	for sent := 0; ctx.Err() == nil; sent++ {
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanCallInterval))))
		address, ok := book.address(ctx, r)
		if !ok {
			continue
		}
		routes := []standin.Route{standin.StreamRoute, standin.NonResumableRoute, standin.OrderRoute, standin.LookupRoute}
		if added := w.fleet.addedRoutes(); len(added) > 0 {
			routes = append(routes, added[r.IntN(len(added))].route)
		}
		accounts := []string{"one", "two"}
		if w.fleet.options.Places {
			routes, accounts = append(routes, limitedRoute), append(accounts, limitedAccount.Name)
		}
		account := accounts[r.IntN(len(accounts))]
		outcome := w.call(ctx, c, address, account, standin.Call{ID: fmt.Sprintf("%d-%d-%d", w.seed, number, sent), Route: routes[r.IntN(len(routes))], Deadline: callTimeout})
		book.observe(outcome)
	}
}

// runStreamCaller sends long streams without waiting for the end of earlier ones.
func (w *workload) runStreamCaller(ctx context.Context, number int) {
	w.openStreams(ctx, number, longStreamGroup, func(s streamCaller, sent int) func() {
		call := standin.Call{ID: fmt.Sprintf("%d-s%d-%d", w.seed, number, sent), Route: longStreamRoute, Deadline: longStreamTimeout, EventInterval: eventInterval(s.r)}
		address, ok := s.book.address(ctx, s.r)
		if !ok {
			return nil
		}
		return func() { s.book.observe(w.call(ctx, s.caller, address, streamAccount, call)) }
	})
}

// The groups of stream callers; their numbers keep the random numbers of the groups apart.
const (
	longStreamGroup = 200
	resumingGroup   = 300
)

// streamCaller is a caller of streams with the nodes that it knows.
type streamCaller struct {
	r      *rand.Rand
	caller *standin.Caller
	book   *addressBook
}

// openStreams runs the streams that next returns, which may be nil, at random intervals until ctx ends. It returns
// when all have ended. group is one of the groups of stream callers.
func (w *workload) openStreams(ctx context.Context, number, group int, next func(s streamCaller, sent int) func()) {
	s := streamCaller{r: rand.New(rand.NewPCG(w.seed, uint64(group+number))), caller: standin.NewCaller()}
	defer s.caller.Close()
	s.book = newAddressBook(w.fleet, s.caller, number)
	var streams sync.WaitGroup
	defer streams.Wait()
	for sent := 0; ctx.Err() == nil; sent++ {
		time.Sleep(time.Duration(s.r.Int64N(int64(2 * meanStreamInterval))))
		if stream := next(s, sent); stream != nil {
			streams.Go(stream)
		}
	}
}

// eventInterval draws the time between two events of a stream. Most streams are short, a third
// outlast what a node has left when its address expires.
func eventInterval(r *rand.Rand) time.Duration {
	x := r.Float64()
	return time.Duration(x * x * float64(maxEventInterval))
}

func (w *workload) call(ctx context.Context, c *standin.Caller, address, account string, call standin.Call) standin.Outcome {
	call.Key, call.PromptTokens, call.MaxOutputTokens = "key-"+account, promptTokens, maxOutputTokens
	if call.Route.Engine && call.Shared == nil {
		call.Shared = []string{commonPart}
	}
	rec := callRecord{account: account, node: address, start: time.Now(), call: call}
	rec.outcome = c.Do(context.WithoutCancel(ctx), address, call)
	rec.end = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, rec)
	return rec.outcome
}
