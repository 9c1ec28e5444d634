package idempotency

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

type batch = recordv1.Batch

func TestRetriesOnOtherNodesGetSameResponse(t *testing.T) {
	// A caller retries a call on other nodes, during the first attempt and after it. It
	// must get the response of the first attempt, and the call must run once.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b", "c")
		defer f.stop()
		f.service.delay = 100 * time.Millisecond
		responses := make(chan string, 3)
		for i, name := range []string{"a", "b", "c"} {
			go func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				response, err := f.node(name).call(context.Background(), "order")
				is.NoErr(err)
				responses <- string(response.Body)
			}()
		}
		for range 3 {
			is.Equal(<-responses, "order run 1")
		}
		late, err := f.node("b").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(late.Body), "order run 1")
		is.Equal(f.service.count("order"), 1)
	})
}

func TestConcurrentClaimsOfOneKey(t *testing.T) {
	// A caller sends one call to three nodes at once. All three claim the key and one
	// claim wins; the other nodes must forward to the winner rather than run the call.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b", "c")
		defer f.stop()
		responses := make(chan string, 3)
		for _, name := range []string{"a", "b", "c"} {
			go func() {
				response, err := f.node(name).call(context.Background(), "order")
				is.NoErr(err)
				responses <- string(response.Body)
			}()
		}
		for range 3 {
			is.Equal(<-responses, "order run 1")
		}
		is.Equal(f.service.count("order"), 1)
	})
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	// A client reuses a key for another request by mistake. If it got the response of the
	// first request, the second one would be lost unnoticed.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		_, err := f.node("a").call(context.Background(), "key")
		is.NoErr(err)
		for _, name := range []string{"a", "b"} {
			n := f.node(name)
			other := Call{ID: ID{"account", "key"}, Digest: Digest{2}}
			_, err = n.runner.Do(context.Background(), other, n.run("other"), nil)
			is.Equal(result.CodeOf(err), result.KeyReused)
		}
		is.Equal(f.service.count("other"), 0)
	})
}

func TestLogOutageRefusesAndNeverRunsLater(t *testing.T) {
	// The log is unreachable, so it is unknown whether the key was used. The call is
	// refused and must not run later either, when the log is back but the caller has left:
	// the caller may have placed its order in another way meanwhile.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.log.SetDown(true)
		started := time.Now()
		_, err := f.node("a").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.KeyNotClaimed)
		is.True(!result.From(err).NotRun()) // an earlier attempt may have run on another node
		is.Equal(time.Since(started), claimTimeout)
		f.log.SetDown(false)
		time.Sleep(time.Minute)
		is.Equal(f.service.count("order"), 0)
		f.node("a").kill()
		f.close("a")
		response, err := f.node("b").call(context.Background(), "order")
		is.NoErr(err) // the late claim was released, so the key isn't lost with its node
		is.Equal(string(response.Body), "order run 1")
	})
}

func TestLostClaimAcknowledgement(t *testing.T) {
	// The log accepts the claim, but the acknowledgement is lost and the append is sent
	// again. The duplicate must neither run the call twice nor refuse it.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.log.DropResponses(2)
		response, err := f.node("a").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(response.Body), "order run 1")
	})
}

func TestNotRunReleasesKey(t *testing.T) {
	// No instance of the service is reachable, so the call is refused as not run. A retry
	// with the same key on another node must be served.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.service.before = func(string) error { return result.New(result.NoUpstream, "refused") }
		_, err := f.node("a").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.NoUpstream)
		is.True(result.From(err).NotRun())
		f.service.before = nil
		time.Sleep(time.Second)
		response, err := f.node("b").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(response.Body), "order run 1")
	})
}

func TestOwnerFailsDuringCall(t *testing.T) {
	// The node that sent the call fails before the response. Whether the call ran is
	// unknown, so no other node may send it again.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.service.delay = time.Second
		go func() { _, _ = f.node("a").call(context.Background(), "order") }()
		time.Sleep(500 * time.Millisecond)
		f.node("a").kill()
		_, err := f.node("b").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.PeerUnreachable) // the owner may come back
		f.close("a")
		_, err = f.node("b").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.OutcomeUnknown)
		is.Equal(f.service.count("order"), 1)
	})
}

func TestOwnerFailsAfterCall(t *testing.T) {
	// The node that ran the call fails later and its response is lost, but the log knows
	// that the call ran and with which status, and the caller is told so.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		_, err := f.node("a").call(context.Background(), "order")
		is.NoErr(err)
		time.Sleep(time.Second)
		f.node("a").kill()
		f.close("a")
		_, err = f.node("b").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.AlreadyRan)
		is.Equal(f.service.count("order"), 1)
	})
}

func TestCallerDisconnectsAndRetries(t *testing.T) {
	// A caller's connection breaks during the call. The call can't be cancelled; a retry
	// must get the response without a second run.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.service.delay = time.Second
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := f.node("a").call(ctx, "order")
		is.Equal(result.CodeOf(err), result.CallInProgress)
		response, err := f.node("a").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(response.Body), "order run 1")
	})
}

func TestPanicDuringCall(t *testing.T) {
	// A panic occurs after the call was sent. The node must continue, and the call's
	// outcome must be unknown.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.service.after = func(string) error { panic("defect") }
		for range 2 {
			_, err := f.node("a").call(context.Background(), "order")
			is.Equal(result.CodeOf(err), result.OutcomeUnknown)
		}
		is.Equal(f.service.count("order"), 1)
	})
}

func TestEvictedResponsesStillCountAsRun(t *testing.T) {
	// A node evicts a response to bound its memory. A caller that retries must be told
	// that the call ran, and the call must not run again.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.node("a").runner.responses.maxBytes = 1
		for _, key := range []string{"one", "two"} {
			_, err := f.node("a").call(context.Background(), key)
			is.NoErr(err)
		}
		_, err := f.node("a").call(context.Background(), "one")
		is.NoErr(err) // kept until the log has the outcome
		time.Sleep(time.Second)
		for _, name := range []string{"a", "b"} {
			_, err := f.node(name).call(context.Background(), "one")
			is.Equal(result.CodeOf(err), result.AlreadyRan)
		}
		is.Equal(f.service.count("one"), 1)
	})
}

func TestLogOutageLeaksNothing(t *testing.T) {
	// Callers send keys during a long log outage and disconnect. If their claims were
	// kept, the node would run out of memory before the log is back.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.log.SetDown(true)
		_, err := f.node("a").call(context.Background(), "first") // its append is in flight, so the claim can't be withdrawn
		is.Equal(result.CodeOf(err), result.KeyNotClaimed)
		before := runtime.NumGoroutine()
		for i := range 200 {
			_, err := f.node("a").call(context.Background(), fmt.Sprint(i))
			is.Equal(result.CodeOf(err), result.KeyNotClaimed)
		}
		synctest.Wait()
		is.True(runtime.NumGoroutine() < before+50)
		is.Equal(len(f.node("a").runner.calls), 1)
	})
}
