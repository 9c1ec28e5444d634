package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

const testPause = 3 * time.Second

// Guards against a pick that reaches a paused upstream by another way than the usual scan: the
// sample among many, the prefix cache, a probe, or the fallback to unhealthy upstreams.
func TestNoPickDuringPause(t *testing.T) {
	for _, test := range []struct {
		name    string
		count   int
		request func(*Request)
		prepare func(b *Balancer, now time.Time)
	}{
		{name: "scan", count: 2},
		{name: "sample", count: 100},
		{name: "cached prefix", count: 100, request: func(r *Request) { r.Prefix = []uint64{1, 2, 3} }, prepare: func(b *Balancer, _ time.Time) {
			b.CacheEvents(chat, "north-0", []CacheEvent{{Sequence: 1, Hash: 1, Stored: true}, {Sequence: 2, Hash: 2, Stored: true}})
		}},
		{name: "probe", count: 2, prepare: func(b *Balancer, now time.Time) {
			_, paused := b.find(chat, "north-0")
			paused.breaker.RecordFailure(now.Add(-time.Minute), false, true)
		}},
		{name: "others unhealthy", count: 3, prepare: func(b *Balancer, now time.Time) {
			for _, name := range []string{"north-1", "north-2"} {
				_, other := b.find(chat, name)
				other.breaker.RecordFailure(now, false, true)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b, clock := newTestBalancer()
			list := engines("north", test.count)
			request := testRequest()
			_ = countPicks(t, b, request, list, 1)
			if test.request != nil {
				test.request(&request)
			}
			if test.prepare != nil {
				test.prepare(b, clock.Now())
			}
			is.True(b.Pause(list[0], testPause))
			is.Equal(countPicks(t, b, request, list, 300)["north-0"], 0)
			clock.Advance(testPause - 1)
			is.Equal(countPicks(t, b, request, list, 300)["north-0"], 0)
			clock.Advance(1)
			is.True(countPicks(t, b, testRequest(), list, 2000)["north-0"] > 0)
		})
	}
}

// Guards against a stalled upstream being picked during its pause because all others are stalled
// as well.
func TestNoPickOfStalledUpstreamDuringPause(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 3)
	for range 30 {
		_, err := b.Pick(testRequest(), list) // none of them gets a first token
		is.NoErr(err)
	}
	clock.Advance(DefaultSettings().StallTimeout + time.Second)
	b.Pause(list[0], testPause)
	is.Equal(countPicks(t, b, testRequest(), list, 100)["north-0"], 0)
}

// Guards against a pause that ends early: by an answer to an earlier request, a shorter pause, a
// changed entry of the upstream, or its absence from the candidates for a while.
func TestPauseIsNotShortened(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 3)
	request := testRequest()
	request.Tried = map[string]bool{"north-1": true, "north-2": true}
	earlier, err := b.Pick(request, list)
	is.NoErr(err)
	is.Equal(earlier.Upstream.GetName(), "north-0")
	is.True(b.Pause(list[0], testPause))
	is.True(!b.Pause(list[0], time.Second))
	is.True(!b.Pause(list[0], 0))
	is.True(b.Pause(list[1], time.Millisecond))
	earlier.FirstToken()
	earlier.Done(nil)
	changed := engines("north", 3)
	changed[0].Slots, changed[0].Region = 32, "south"
	for _, candidates := range [][]*operatorv1.Upstream{list, changed, list[1:], list} {
		is.Equal(countPicks(t, b, testRequest(), candidates, 50)["north-0"], 0)
	}
	clock.Advance(testPause / 2)
	is.Equal(b.PauseLeft(list[0]), testPause/2)
	is.True(!b.Pause(list[0], testPause)) // a later one prolongs it
	is.Equal(b.PauseLeft(list[0]), testPause)
}

// Guards against a pause of one process that keeps requests from its replacement at another
// address, or misses the same process in another service.
func TestPauseIsOfTheProcess(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	b.Pause(&operatorv1.Upstream{Name: "e", Service: chat, Address: "127.0.0.1:1"}, testPause)
	is.Equal(b.PauseLeft(&operatorv1.Upstream{Name: "e", Service: chat, Address: "127.0.0.1:2"}), time.Duration(0))
	is.Equal(b.PauseLeft(&operatorv1.Upstream{Name: "f", Service: "other", Address: "127.0.0.1:1"}), testPause)
}

// Guards against callers that come back before any upstream takes their request, or much later.
func TestAllPausedIsRefusedUntilTheFirstEnd(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 4)
	list[3].Draining = true
	b.Pause(list[3], time.Millisecond) // draining, so its end doesn't matter
	b.Pause(list[0], testPause)
	b.Pause(list[1], testPause)
	is.NoErr(b.CheckPauses(chat, list))
	b.Pause(list[2], 2*testPause)
	clock.Advance(time.Second)
	_, pickErr := b.Pick(testRequest(), list)
	for _, err := range []error{pickErr, b.CheckPauses(chat, list)} {
		is.Equal(result.CodeOf(err), result.NoUpstream)
		is.True(result.From(err).NotRun())
		is.Equal(result.From(err).RetryAfter, testPause-time.Second)
	}
	clock.Advance(testPause)
	is.NoErr(b.CheckPauses(chat, list))
	is.NoErr(b.CheckPauses(chat, nil)) // a pick says what is wrong
}

// Guards against an upstream that stays out of use after its pause because of requests that this
// node didn't send it.
func TestUnsentRequestsAreNoFailures(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 1)
	for range 20 {
		p, err := b.Pick(testRequest(), list)
		is.NoErr(err)
		p.Done(result.New(result.NoUpstream, "paused or leaving").WithUnsent())
	}
	_, target := b.find(chat, "north-0")
	is.True(target.breaker.IsClosed())
}

// Guards against picks that allocate while an upstream is paused.
func TestPickDuringPauseAllocatesNothing(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 100)
	b.Pause(list[0], testPause)
	request := testRequest()
	_ = countPicks(t, b, request, list, 100)
	is.Equal(testing.AllocsPerRun(100, func() {
		p, _ := b.Pick(request, list)
		p.Done(nil)
	}), 0.0)
}

// Guards against callers that wait for the end of a pause although an upstream that failed their
// request may serve them sooner.
func TestPauseDoesNotDelayRetryAtOtherUpstream(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 2)
	request := testRequest()
	request.Tried = map[string]bool{"north-1": true}
	b.Pause(list[0], time.Hour)
	_, err := b.Pick(request, list)
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.Equal(result.From(err).RetryAfter, noUpstreamRetryAfter)
	b.Pause(list[1], time.Second)
	_, err = b.Pick(request, list)
	is.Equal(result.From(err).RetryAfter, time.Second)
	b.Pause(list[1], time.Minute)
	_, err = b.Pick(request, list)
	is.Equal(result.From(err).RetryAfter, noUpstreamRetryAfter) // other nodes may not be paused
}
