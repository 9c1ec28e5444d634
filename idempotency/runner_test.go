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
	// A caller sends a work order, hears nothing for a while and sends it again to
	// another node, during the first try and after it. It must get the first try's
	// answer, and the crew must be sent out once.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b", "c")
		defer f.stop()
		f.service.delay = 100 * time.Millisecond
		answers := make(chan string, 3)
		for i, name := range []string{"a", "b", "c"} {
			go func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				answer, err := f.node(name).call(context.Background(), "order")
				is.NoErr(err)
				answers <- string(answer.Body)
			}()
		}
		for range 3 {
			is.Equal(<-answers, "order run 1")
		}
		late, err := f.node("b").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(late.Body), "order run 1")
		is.Equal(f.service.count("order"), 1)
	})
}

func TestConcurrentClaimsOfOneKey(t *testing.T) {
	// An impatient caller sends one order to three nodes at once. All three claim the
	// key, one claim wins, and the others must ask the winner rather than run.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b", "c")
		defer f.stop()
		answers := make(chan string, 3)
		for _, name := range []string{"a", "b", "c"} {
			go func() {
				answer, err := f.node(name).call(context.Background(), "order")
				is.NoErr(err)
				answers <- string(answer.Body)
			}()
		}
		for range 3 {
			is.Equal(<-answers, "order run 1")
		}
		is.Equal(f.service.count("order"), 1)
	})
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	// A client reuses a key by mistake for another order. Answered with the first
	// order's result, the second one would be lost without anybody noticing.
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
	// The log is out of reach, so nobody can tell whether the key was used. The call
	// is refused without a run, also when the log comes back after the caller left:
	// the caller may have given its order by telephone meanwhile.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.log.SetDown(true)
		started := time.Now()
		_, err := f.node("a").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.KeyNotClaimed)
		is.True(!result.From(err).NotRun()) // an earlier try may have run at another node
		is.Equal(time.Since(started), claimWait)
		f.log.SetDown(false)
		time.Sleep(time.Minute)
		is.Equal(f.service.count("order"), 0)
		f.node("a").kill()
		f.close("a")
		answer, err := f.node("b").call(context.Background(), "order")
		is.NoErr(err) // the late claim was given up, so the key didn't die with its node
		is.Equal(string(answer.Body), "order run 1")
	})
}

func TestLostClaimAcknowledgement(t *testing.T) {
	// The log takes the claim, but its answer is lost and the append is sent again.
	// The second copy must neither run the call twice nor refuse it.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.log.DropResponses(2)
		answer, err := f.node("a").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(answer.Body), "order run 1")
	})
}

func TestNotRunReleasesKey(t *testing.T) {
	// No instance of the service can be reached, so the call is refused as not run.
	// The caller comes back with the same key, at another node, and must be served.
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
		answer, err := f.node("b").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(answer.Body), "order run 1")
	})
}

func TestOwnerFailsDuringCall(t *testing.T) {
	// The node that sent the order dies before the answer. Whether the crew was sent
	// out is unknown, so no other node may send it again.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.service.delay = time.Second
		go func() { _, _ = f.node("a").call(context.Background(), "order") }()
		time.Sleep(500 * time.Millisecond)
		f.node("a").kill()
		_, err := f.node("b").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.PeerUnreachable) // it may come back
		f.close("a")
		_, err = f.node("b").call(context.Background(), "order")
		is.Equal(result.CodeOf(err), result.OutcomeUnknown)
		is.Equal(f.service.count("order"), 1)
	})
}

func TestOwnerFailsAfterCall(t *testing.T) {
	// The node that ran the order dies later. Its answer is gone with it, but the log
	// knows that the order ran: the caller is told so, and with which status.
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
	// A caller's connection breaks within the call. The call can't be unsent; when
	// the caller comes back it must find the answer, and no second run.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.service.delay = time.Second
		ctx, leave := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer leave()
		_, err := f.node("a").call(ctx, "order")
		is.Equal(result.CodeOf(err), result.CallInProgress)
		answer, err := f.node("a").call(context.Background(), "order")
		is.NoErr(err)
		is.Equal(string(answer.Body), "order run 1")
	})
}

func TestPanicDuringCall(t *testing.T) {
	// A defect hits after the order was sent. The node must live on, and the order
	// must count as perhaps run.
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
	// A busy node can't hold all answers. A caller that comes back for one that was
	// dropped must be told that its order ran, and must not have it run again.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.node("a").runner.answers.limit = 1
		for _, key := range []string{"one", "two"} {
			_, err := f.node("a").call(context.Background(), key)
			is.NoErr(err)
		}
		_, err := f.node("a").call(context.Background(), "one")
		is.NoErr(err) // held until the log knows the outcome
		time.Sleep(time.Second)
		for _, name := range []string{"a", "b"} {
			_, err := f.node(name).call(context.Background(), "one")
			is.Equal(result.CodeOf(err), result.AlreadyRan)
		}
		is.Equal(f.service.count("one"), 1)
	})
}

func TestLogOutageLeaksNothing(t *testing.T) {
	// Callers keep sending keys through hours of an outage. Each leaves again; were its
	// claim held on to, the node would run out of memory before the log is back.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.log.SetDown(true)
		_, err := f.node("a").call(context.Background(), "first") // its claim is on its way
		is.Equal(result.CodeOf(err), result.KeyNotClaimed)
		before := runtime.NumGoroutine()
		for i := range 200 {
			_, err := f.node("a").call(context.Background(), fmt.Sprint(i))
			is.Equal(result.CodeOf(err), result.KeyNotClaimed)
		}
		synctest.Wait()
		is.True(runtime.NumGoroutine() < before+50)
		is.Equal(len(f.node("a").runner.held), 1)
	})
}
