package node

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Guards against accepting requests that a draining node will cut.
func TestDrainingNodeRefusesRequestsThatOutlastIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		n := f.nodes[1]
		caller := newStreamCaller(-1)
		is.NoErr(f.nodes[0].Requests().Chat(f.t.Context(), request.ChatCall{Key: streamKey, Body: []byte(chatBody)}, caller))
		upstreams.set(drainTime+10*time.Second, nil)
		f.serveHistory(n)
		upstreams.set(0, nil)
		sends := upstreams.sends()
		f.drainFor(n, drainTime)
		for _, ended := range []<-chan outcome{f.chat(n, 0), f.chat(n, time.Minute), f.call(n, 0), f.resume(n, caller.cursors[0])} {
			checkDraining(is, ended)
		}
		is.Equal(n.count(event.RequestRefused), uint64(4))
		is.Equal(upstreams.sends(), sends)
		draining, _ := n.events.Find("")
		is.True(slices.ContainsFunc(draining, func(e event.Event) bool {
			return e.Number == event.NodeDraining && e.Fields["left_ms"] != ""
		}))

		is.True((<-f.chat(n, time.Second)).err == nil) // certainly end in time
		is.True((<-f.call(n, time.Second)).err == nil)
	})
}

// serveHistory has a node serve enough completions and calls to know how long they take.
func (f *testFleet) serveHistory(n *testNode) {
	for range historyLength {
		for _, ended := range []<-chan outcome{f.chat(n, 0), f.call(n, 0)} {
			if failed := (<-ended).err; failed != nil {
				f.t.Fatal(failed)
			}
		}
	}
}

// historyLength is the number of completions, and of calls, in serveHistory.
const historyLength = 8

// Guards against refusing callers that couldn't have known of the drain, although requests of their
// kind usually end in time.
func TestDrainingNodeAcceptsRequestsThatUsuallyEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := startDrainFleet(t)
		n := f.nodes[1]
		f.serveHistory(n)
		f.drainFor(n, drainTime)
		is.True((<-f.chat(n, 0)).err == nil)
		is.True((<-f.call(n, 0)).err == nil)
	})
}

// forward sends a call with a key to a node as another node would.
func (f *testFleet) forward(n *testNode, key string) *fleetv1.Response {
	return n.HandlePeer(f.t.Context(), &fleetv1.Request{Body: &fleetv1.Request_CallForward{CallForward: &fleetv1.CallForward{
		Account: "a", Service: testService, Method: "POST", Path: "/order", Key: key,
	}}})
}

// Guards against claiming keys and issuing tickets for calls that only a node can run that is
// about to end, and against refusing a caller the answer of a call that runs there.
func TestDrainingNodeClaimsNoKeysAndIssuesNoTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		n := f.nodes[1]
		upstreams.set(10*time.Second, nil)
		running := run(func() error {
			if response := f.forward(n, "before"); response.GetCode() != 0 {
				return result.New(result.Code(response.GetCode()), "%s", response.GetMessage())
			}
			return nil
		})
		ticket, _, err := n.Requests().NewTicket(streamKey)
		is.NoErr(err)
		time.Sleep(time.Second)
		f.drainFor(n, drainTime)

		refused := f.forward(n, "after")
		is.Equal(result.Code(refused.GetCode()), result.Draining)
		is.True(refused.GetCallForwarded().GetRan()) // an earlier try may have run elsewhere
		_, claimed := n.claims.Get(idempotency.ID{Account: "a", Key: "after"})
		is.True(!claimed)
		_, _, err = n.Requests().NewTicket(streamKey)
		is.Equal(result.CodeOf(err), result.Draining)

		is.True((<-running).err == nil)
		is.Equal(f.forward(n, "before").GetCode(), uint32(0)) // the answer is still there
		call := postCall()
		call.Key, call.Ticket = streamKey, ticket
		_, err = n.Requests().Call(t.Context(), call)
		is.NoErr(err) // no other node may run it, and it usually ends in time
	})
}

// Guards against claiming the key of a completion that the node will cut.
func TestDrainingNodeClaimsNoKeyOfCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		n := f.nodes[1]
		f.drainFor(n, drainTime)
		chat := request.ChatCall{Key: streamKey, Body: []byte(chatBody), Timeout: time.Second, IdempotencyKey: "chat"}
		refused := result.From(n.Requests().Chat(t.Context(), chat, newStreamCaller(-1)))
		is.True(refused != nil)
		is.Equal(refused.Code, result.Draining)
		is.True(!refused.NotRun()) // an earlier try may have run elsewhere
		is.Equal(n.count(event.RequestRefused), uint64(1))
		_, claimed := n.claims.Get(idempotency.ID{Account: "a", Key: "chat"})
		is.True(!claimed)
		is.Equal(upstreams.sends(), 0)
	})
}

// Guards against requests that end with the process, without a final answer, a settlement or a
// log line, and against leaving the incarnation open.
func TestOpenRequestsEndWithTheDrainingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		upstreams.set(slowAnswer, nil)
		n := f.nodes[1]
		chat, call := f.chat(n, 0), f.call(n, 0)
		time.Sleep(time.Second)
		is.Equal(n.holder.OpenReservations(), 2)
		started := time.Now()
		drained := f.drainFor(n, drainTime)
		<-drained
		is.True(time.Since(started) < drainTime)
		is.True(!checkDraining(is, chat).NotRun())
		lost := <-call
		is.Equal(lost.err.Code, result.OutcomeUnknown)
		is.Equal(n.count(event.RequestFailed), uint64(2))
		is.Equal(n.holder.OpenReservations(), 0)
		time.Sleep(time.Second)
		is.True(!f.nodes[0].Ledger().IsOpen(n.Incarnation()))
		is.Equal(f.checkLedger(0).Spent, uint64(0)) // an answer that was cut isn't billed
	})
}

// Guards against a drain without a deadline that goes on when the process has to end.
func TestDeadlineAppliesToDrainInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		upstreams.set(slowAnswer, nil)
		n := f.nodes[1]
		go n.Drain(t.Context())
		time.Sleep(time.Second)
		chat := f.chat(n, 0) // accepted, as the drain has no deadline
		time.Sleep(time.Second)
		drained := f.drainFor(n, drainTime)
		checkDraining(is, f.chat(n, 0))
		<-drained
		checkDraining(is, chat)
		is.Equal(n.State(), StateStopped)
		is.Equal(n.count(event.NodeDraining), uint64(2)) // the second one says when the node ends
	})
}

// firstCursor is a caller that passes on the cursor of the first chunk.
type firstCursor struct {
	*streamCaller
	cursor chan string
}

func (c firstCursor) Chunk(cursor string, _ upstream.Chunk) error {
	select {
	case c.cursor <- cursor:
	default:
	}
	return nil
}

// Guards against canceling a stream whose caller reads it through another node, and against
// billing it twice or not at all.
func TestMovedStreamOutlastsDrainingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		upstreams.set(slowAnswer, nil)
		n := f.nodes[1]
		caller := firstCursor{newStreamCaller(-1), make(chan string, 1)}
		go func() {
			_ = n.Requests().Chat(t.Context(), request.ChatCall{Key: streamKey, Body: []byte(chatBody)}, caller)
		}()
		moved := f.resume(f.nodes[0], <-caller.cursor)
		time.Sleep(time.Second)
		<-f.drainFor(n, drainTime)
		is.Equal(n.State(), StateStopped)
		f.crash(1)
		f.engines.mu.Lock()
		is.Equal(len(f.engines.cancelled), 0)
		f.engines.mu.Unlock()
		is.True((<-moved).err == nil)
		f.awaitBilled(0)
	})
}

// Guards against canceling the engine of a resumed stream when the node that resumed it ends:
// its caller can read on through another node.
func TestResumedStreamEndsWithDrainingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		caller := newStreamCaller(-1)
		is.NoErr(f.nodes[0].Requests().Chat(t.Context(), request.ChatCall{Key: streamKey, Body: []byte(chatBody)}, caller))
		upstreams.set(slowAnswer, nil)
		n := f.nodes[1]
		resumed := f.resume(n, caller.cursors[0])
		time.Sleep(time.Second)
		<-f.drainFor(n, drainTime)
		is.True(!checkDraining(is, resumed).NotRun())
		is.Equal(n.count(event.StreamLeft), uint64(1))
		f.engines.mu.Lock()
		defer f.engines.mu.Unlock()
		is.Equal(len(f.engines.cancelled), 0)
	})
}

func (f *testFleet) declareSecondEngine() {
	second := &operatorv1.Upstream{Name: "engine-2", Service: "chat", Address: "127.0.0.1:4"}
	f.append(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: "second", Changes: []*operatorv1.Change{
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: second}}}}}}})
	time.Sleep(time.Second)
}

// Guards against repeating a request on another upstream when too little of the drain is left.
func TestNoRetryThatDrainingNodeWouldCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		f.declareSecondEngine()
		n := f.nodes[1]
		upstreams.set(10*time.Second, nil)
		f.serveHistory(n) // such requests take 10 s
		upstreams.set(drainTime*2/3, result.New(result.NoUpstream, "unreachable"))
		ended := f.chat(n, 0)
		time.Sleep(time.Second)
		<-f.drainFor(n, drainTime)
		failed := (<-ended).err
		is.True(failed != nil)
		is.True(failed.NotRun())
		is.Equal(upstreams.sends(), 2*historyLength+1)
		is.Equal(n.count(event.RetryDenied), uint64(1))
	})
}

// Guards against giving up a request that its own deadline ends before the node.
func TestDrainingNodeRetriesRequestsThatEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		f.declareSecondEngine()
		n := f.nodes[1]
		upstreams.set(10*time.Second, nil)
		f.serveHistory(n)    // such requests take 10 s
		hold := f.call(n, 0) // keeps the node from closing
		time.Sleep(time.Second)
		upstreams.set(0, result.New(result.NoUpstream, "unreachable"))
		f.drainFor(n, 15*time.Second)
		time.Sleep(5 * time.Second) // less than 10 s are left
		before := upstreams.sends()
		is.True((<-f.chat(n, time.Second)).err != nil)
		is.True(upstreams.sends() > before+1)
		is.Equal(n.count(event.RetryDenied), uint64(0))
		is.True((<-hold).err == nil)
	})
}

// Guards against sending callers of a node that has ended back to it, and against refusals that
// leave no line.
func TestStoppedNodeRefusesAsDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := startDrainFleet(t)
		n := f.nodes[1]
		<-f.drainFor(n, drainTime)
		is.Equal(n.State(), StateStopped)
		is.Equal(result.CodeOf(n.Serving()), result.Draining)
		is.True(result.From(n.Serving()).RetryAfter < time.Second)
		forwarded := f.forward(n, "key")
		is.Equal(result.Code(forwarded.GetCode()), result.Draining)
		is.True(forwarded.GetCallForwarded().GetRan())
		is.Equal(n.count(event.RequestRefused), uint64(1))
	})
}

// Guards against accepting requests between the last check for open ones and the end of the
// node.
func TestRequestDuringTheCloseIsRefusedAsDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, upstreams := startDrainFleet(t)
		n := f.nodes[1]
		caller := newStreamCaller(-1)
		is.NoErr(n.Requests().Chat(f.t.Context(), request.ChatCall{Key: streamKey, Body: []byte(chatBody)}, caller))
		go n.Drain(t.Context())
		f.log.SetDown(true) // the node can't close its incarnation
		time.Sleep(drainTime)
		is.Equal(n.State(), StateDraining)
		for _, ended := range []<-chan outcome{f.chat(n, time.Second), f.call(n, time.Second), f.resume(n, caller.cursors[0])} {
			checkDraining(is, ended)
		}
		is.Equal(upstreams.sends(), 1)
		f.log.SetDown(false)
		<-n.Drained()
	})
}
