package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// callTicket sends a call with a ticket to a node, which forwards it to the issuer.
func (n *testNode) callTicket(ticket *fleetv1.CallTicket, key string) (Response, error) {
	return n.runner.DoTicket(context.Background(), ticket, Digest{1}, n.run(key), func(ctx context.Context, owner string) (Response, error) {
		peer := n.fleet.node(owner)
		if peer.ctx.Err() != nil {
			return Response{}, result.New(result.OutcomeUnknown, "gone")
		}
		return peer.runner.DoTicket(ctx, ticket, Digest{1}, peer.run(key), nil)
	})
}

func TestTicketRunsOnceWithoutLog(t *testing.T) {
	// The log is down. A call with a ticket still runs, and only once, whichever node the
	// caller retries on.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.log.SetDown(true)
		ticket := f.node("a").runner.NewTicket("account", "a")
		for _, name := range []string{"b", "a", "b"} {
			response, err := f.node(name).callTicket(ticket, "dive")
			is.NoErr(err)
			is.Equal(string(response.Body), "dive run 1")
		}
	})
}

func TestTicketOfFailedNode(t *testing.T) {
	// The node that issued the ticket has failed. It may have run the call, so no other
	// node may run it.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		ticket := f.node("a").runner.NewTicket("account", "a")
		_, err := f.node("a").callTicket(ticket, "dive")
		is.NoErr(err)
		f.node("a").kill()
		_, err = f.node("b").callTicket(ticket, "dive")
		is.Equal(result.CodeOf(err), result.OutcomeUnknown)
		// Another process took over the failed node's address and gets the call instead.
		_, err = f.node("b").runner.DoTicket(context.Background(), ticket, Digest{1}, f.node("b").run("dive"), nil)
		is.Equal(result.CodeOf(err), result.OutcomeUnknown)
		is.Equal(f.service.count("dive"), 1)
	})
}

func TestExpiredTicketNeverRunsAgain(t *testing.T) {
	// A caller reuses a ticket after the node has pruned the call. Running it now would
	// run the call twice.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		ticket := f.node("a").runner.NewTicket("account", "a")
		_, err := f.node("a").callTicket(ticket, "order")
		is.NoErr(err)
		time.Sleep(TicketLifetime + time.Second)
		f.node("a").runner.pruneThreshold = 0 // prune expired tickets on the next call
		_, err = f.node("a").callTicket(ticket, "order")
		is.Equal(result.CodeOf(err), result.TicketExpired)
		is.True(!result.From(err).NotRun())
		is.Equal(f.service.count("order"), 1)
	})
}

func TestTicketIsReusableAfterRefusal(t *testing.T) {
	// The call was refused as not run; a retry with the same ticket must succeed.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		f.service.before = func(string) error { return result.New(result.NoUpstream, "refused") }
		ticket := f.node("a").runner.NewTicket("account", "a")
		_, err := f.node("a").callTicket(ticket, "order")
		is.Equal(result.CodeOf(err), result.NoUpstream)
		f.service.before = nil
		_, err = f.node("a").callTicket(ticket, "order")
		is.NoErr(err)
		is.Equal(f.service.count("order"), 1)
	})
}

func TestCallerDisconnectsBeforeTicketRuns(t *testing.T) {
	// A caller disconnects just as its call arrives and retries with the same ticket. If
	// it got an empty success, its call would be lost unnoticed.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		n := f.node("a")
		ticket := n.runner.NewTicket("account", "a")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := n.runner.DoTicket(ctx, ticket, Digest{1}, n.run("order"), nil)
		is.Equal(result.CodeOf(err), result.CallerGone)
		time.Sleep(time.Second)
		response, err := n.callTicket(ticket, "order")
		is.NoErr(err)
		is.Equal(string(response.Body), "order run 1")
	})
}
