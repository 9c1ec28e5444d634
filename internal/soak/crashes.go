package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// commonPart is a part of every prompt; badPart is the part under which engines crash, badBody the beginning of the bodies.
	commonPart = "c0"
	badPart    = "bad0"
	badBody    = "crashes upstreams"
	// downAfterCrash is how long an engine that crashed is gone.
	downAfterCrash = 1500 * time.Millisecond
	// crashesUntilKnown is how many engines may crash under a part before nodes have to know of it, newsWindow how long that may
	// take, maxLateArrivals how many requests with the part may reach engines after that.
	crashesUntilKnown = 5
	newsWindow        = 4 * time.Second
	maxLateArrivals   = 3
	// maxRequestCrashes is how many engines may crash under one request.
	maxRequestCrashes = 3
	// badCallInterval is the mean time between two requests with the part, badRepeatPause that between two tries of the
	// request under which engines crash.
	badCallInterval = 350 * time.Millisecond
	badRepeatPause  = 200 * time.Millisecond
	maxBadRepeats   = 40
	// badCopies is how many copies of a request callers send at once.
	badCopies = 3
	// firstSendWindow is how long after the first crash a busy node may not have heard of it, and send the request for the first time.
	firstSendWindow = 250 * time.Millisecond
)

// repeatedRequest is a request under which upstreams crash and which its caller repeats.
type repeatedRequest struct {
	// name is part of the calls' IDs, body is the same in all of them.
	name, body string
	route      standin.Route
	// copies is how many are sent at once; randomGroup keeps the random numbers of callers apart.
	copies      int
	randomGroup uint64
}

var (
	streamsThatCrash = repeatedRequest{"e", badBody, standin.StreamRoute, 1, 401}
	callsThatCrash   = repeatedRequest{"p", badBody + ", call", standin.LookupRoute, 1, 402}
	copiesThatCrash  = repeatedRequest{"c", badBody + ", copies", standin.StreamRoute, badCopies, 403}
)

// crashingUpstreams returns, for a third of the seeds, a part and a body under which all engines crash, and engines that crash
// by themselves. They have numbers of their own, so that other steps don't depend on them.
func crashingUpstreams(r *rand.Rand, length time.Duration) []Step {
	if r.IntN(3) != 0 {
		return nil
	}
	var steps []Step
	at := time.Second + time.Duration(r.Int64N(int64(time.Second)))
	for i := range engineCount {
		steps = append(steps, Step{Kind: RequestsCrashUpstream, At: at, Duration: length - at, Target: i})
	}
	for range 1 + r.IntN(3) {
		steps = append(steps, Step{Kind: UpstreamCrashes, At: time.Duration(r.Int64N(int64(length))), Duration: downAfterCrash, Target: r.IntN(engineCount)})
	}
	return steps
}

// crashingServices returns, for a third of the seeds, plain services that crash under one call.
func crashingServices(r *rand.Rand, length time.Duration) []Step {
	if r.IntN(3) != 0 {
		return nil
	}
	var steps []Step
	at := time.Second + time.Duration(r.Int64N(int64(time.Second)))
	for i := engineCount; i < upstreamCount; i++ {
		steps = append(steps, Step{Kind: RequestsCrashUpstream, At: at, Duration: length - at, Target: i})
	}
	return steps
}

// crashes returns under what an engine crashes, once it does so.
func (f *fleet) crashes(underRequests bool) standin.Crashes {
	c := standin.Crashes{Down: downAfterCrash, Store: f.store, Listen: listenAgain}
	if underRequests {
		c.Part, c.Body = badPart, badBody
	}
	return c
}

// setCrashes sets whether an upstream crashes under some requests.
func (f *fleet) setCrashes(upstream int, underRequests bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[upstream].SetCrashes(f.crashes(underRequests))
	kind := kindOf(upstream < engineCount)
	if f.crashesUnderRequests[kind]--; underRequests {
		f.crashesUnderRequests[kind] += 2
	}
}

// kindOf returns the index of engines or of plain services.
func kindOf(engine bool) int {
	if engine {
		return 0
	}
	return 1
}

// requestsCrashUpstreams reports whether engines, or plain services, crash under some requests.
func (f *fleet) requestsCrashUpstreams(engines bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashesUnderRequests[kindOf(engines)] > 0
}

// listenAgain listens at the address of an engine that crashed.
func listenAgain(address string) net.Listener {
	for {
		if l, err := net.Listen("tcp", address); err == nil {
			return l
		}
		time.Sleep(10 * time.Millisecond) // another socket may have the port for a moment
	}
}

// runBadCaller sends requests with the bad part, no two alike, while engines crash under it.
func (w *workload) runBadCaller(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.seed, 400))
	c := standin.NewCaller()
	defer c.Close()
	book := newAddressBook(w.fleet, c, 0)
	for sent := 0; ctx.Err() == nil; sent++ {
		time.Sleep(time.Duration(r.Int64N(int64(2 * badCallInterval))))
		if address, ok := book.address(ctx, r); ok && w.fleet.requestsCrashUpstreams(true) {
			call := standin.Call{ID: fmt.Sprintf("%d-b-%d", w.seed, sent), Route: standin.NonResumableRoute, Deadline: callTimeout, Shared: []string{commonPart, badPart, fmt.Sprint("k", sent%3)}}
			book.observe(w.call(ctx, c, address, []string{"one", "two"}[sent%2], call))
		}
	}
}

// runRepeatingCaller repeats one request under which upstreams crash, at one node after the other or at several at once.
func (w *workload) runRepeatingCaller(ctx context.Context, request repeatedRequest) {
	r := rand.New(rand.NewPCG(w.seed, request.randomGroup))
	c := standin.NewCaller()
	defer c.Close()
	book := newAddressBook(w.fleet, c, 1)
	for tries := 0; ctx.Err() == nil && tries < maxBadRepeats; {
		time.Sleep(badRepeatPause)
		if !w.fleet.requestsCrashUpstreams(request.route.Engine) {
			continue
		}
		var copies sync.WaitGroup
		for i := range request.copies {
			address, ok := book.address(ctx, r)
			if !ok {
				continue
			}
			call := standin.Call{ID: fmt.Sprintf("%d-%s-%d-%d", w.seed, request.name, tries, i), Route: request.route, Deadline: callTimeout, Body: request.body}
			if request.route.Engine {
				call.Shared = []string{commonPart}
			}
			copies.Go(func() { book.observe(w.call(ctx, c, address, streamAccount, call)) })
		}
		copies.Wait()
		tries++
	}
}

func (r *callRecord) isBad() bool {
	return strings.HasPrefix(r.call.Body, badBody) || slices.Contains(r.call.Shared, badPart)
}

// checkCrashedUpstreams: engines crash under a request, and under requests with one part, only until nodes know of it; and
// requests that have nothing to do with it aren't refused for it.
func (h *history) checkCrashedUpstreams() []Violation {
	var violations []Violation
	records := h.recordsByID()
	for i := range h.records {
		if r := &h.records[i]; r.outcome.Status == http.StatusBadRequest && !r.isBad() {
			violations = append(violations, Violation{"sound requests", fmt.Sprintf("%s on %s was refused as one under which upstreams crash: %s", r.call.ID, r.call.Route.Name, r.outcome.Body)})
		}
	}
	withPart := func(r *callRecord) bool { return slices.Contains(r.call.Shared, badPart) }
	if crashes := h.crashesUnder(records, withPart); len(crashes) >= crashesUntilKnown {
		if late := h.lateArrivals(records, withPart, crashes[crashesUntilKnown-1].Add(newsWindow)); late > maxLateArrivals {
			violations = append(violations, Violation{"parts that crash upstreams", fmt.Sprintf("%d requests reached upstreams later than %s after the fifth crash, %d are allowed; %d crashed", late, newsWindow, maxLateArrivals, len(crashes))})
		}
	}
	for _, request := range []repeatedRequest{streamsThatCrash, callsThatCrash, copiesThatCrash} {
		violations = append(violations, h.checkRepeatedRequest(records, request)...)
	}
	return violations
}

// checkRepeatedRequest: no send of a request begins after the third crash under it, but for the first send of a node that can't have
// heard of one.
func (h *history) checkRepeatedRequest(records map[string]*callRecord, request repeatedRequest) []Violation {
	isRequest := func(r *callRecord) bool { return r.call.Body == request.body }
	crashes := h.crashesUnder(records, isRequest)
	if len(crashes) < maxRequestCrashes || h.anyNodeLost(crashes[0], crashes[maxRequestCrashes-1]) {
		return nil
	}
	late := h.lateArrivals(records, isRequest, crashes[maxRequestCrashes-1])
	if request.copies > 1 {
		late -= h.lateFirstArrivals(records, isRequest, crashes[maxRequestCrashes-1], crashes[0].Add(firstSendWindow))
	}
	if late <= 0 {
		return nil
	}
	return []Violation{{"requests that crash upstreams", fmt.Sprintf("a request (%s) under which %d upstreams had crashed was sent to %d more", request.body, maxRequestCrashes, late)}}
}

// lateFirstArrivals counts the nodes whose first send of some requests came after one time and before another.
func (h *history) lateFirstArrivals(records map[string]*callRecord, match func(*callRecord) bool, after, before time.Time) int {
	first := make(map[string]time.Time) // by node
	for _, arrivals := range h.arrivals {
		for _, a := range arrivals {
			r, known := records[a.ID]
			if !known || !match(r) {
				continue
			}
			if at, ok := first[r.node]; !ok || a.At.Before(at) {
				first[r.node] = a.At
			}
		}
	}
	count := 0
	for _, at := range first {
		if at.After(after) && at.Before(before) {
			count++
		}
	}
	return count
}

// crashesUnder returns when engines crashed under some requests, in order.
func (h *history) crashesUnder(records map[string]*callRecord, match func(*callRecord) bool) []time.Time {
	var crashes []time.Time
	for _, e := range h.crashes {
		if r, known := records[e.Attempt]; known && match(r) {
			crashes = append(crashes, e.At)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// lateArrivals counts the arrivals of some requests after a time, sent by nodes that weren't disturbed.
func (h *history) lateArrivals(records map[string]*callRecord, match func(*callRecord) bool, after time.Time) int {
	late := 0
	for _, arrivals := range h.arrivals {
		for _, a := range arrivals {
			r, known := records[a.ID]
			if !known || !match(r) || !a.At.After(after) {
				continue
			}
			if node, known := h.nodeOf(r); known && !h.lostState(node, a.At.Add(-stablePeriod), a.At) && !h.disturbed(node, r) {
				late++
			}
		}
	}
	return late
}

// anyNodeLost reports whether a node may have lost what it counted, or told nobody of it.
func (h *history) anyNodeLost(from, to time.Time) bool {
	for _, node := range h.nodeNumbers {
		if h.lostState(node, from.Add(-stablePeriod), to.Add(time.Second)) {
			return true
		}
	}
	return false
}
