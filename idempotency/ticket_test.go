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

// callTicket sends a call with a ticket to a node, which passes it on to the issuer.
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
	// The log is down for hours and a diver files a dive log. With a ticket the call
	// runs all the same, once, wherever the caller sends it again.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a", "b")
		defer f.stop()
		f.log.SetDown(true)
		ticket := f.node("a").runner.NewTicket("account", "a")
		for _, name := range []string{"b", "a", "b"} {
			answer, err := f.node(name).callTicket(ticket, "dive")
			is.NoErr(err)
			is.Equal(string(answer.Body), "dive run 1")
		}
	})
}

func TestTicketOfFailedNode(t *testing.T) {
	// The node that issued the ticket is gone. It may have run the call before, so
	// nobody runs it now.
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
		// Another process took the dead one's address and is asked in its place.
		_, err = f.node("b").runner.DoTicket(context.Background(), ticket, Digest{1}, f.node("b").run("dive"), nil)
		is.Equal(result.CodeOf(err), result.OutcomeUnknown)
		is.Equal(f.service.count("dive"), 1)
	})
}

func TestExpiredTicketNeverRunsAgain(t *testing.T) {
	// A caller sends a ticket again the next day, when the node has forgotten the
	// call. Run now, the order would be a duplicate.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		ticket := f.node("a").runner.NewTicket("account", "a")
		_, err := f.node("a").callTicket(ticket, "order")
		is.NoErr(err)
		time.Sleep(TicketLifetime + time.Second)
		f.node("a").runner.prune = 0 // looks for expired tickets at the next call
		_, err = f.node("a").callTicket(ticket, "order")
		is.Equal(result.CodeOf(err), result.TicketExpired)
		is.True(!result.From(err).NotRun())
		is.Equal(f.service.count("order"), 1)
	})
}

func TestTicketIsReusableAfterRefusal(t *testing.T) {
	// The call was refused as not run; the same ticket must serve for the retry.
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
	// A caller hangs up just as its call arrives and comes back with the same ticket.
	// Answered with an empty success, its order would be lost without a trace.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet("a")
		defer f.stop()
		n := f.node("a")
		ticket := n.runner.NewTicket("account", "a")
		gone, leave := context.WithCancel(context.Background())
		leave()
		_, err := n.runner.DoTicket(gone, ticket, Digest{1}, n.run("order"), nil)
		is.Equal(result.CodeOf(err), result.CallerGone)
		time.Sleep(time.Second)
		answer, err := n.callTicket(ticket, "order")
		is.NoErr(err)
		is.Equal(string(answer.Body), "order run 1")
	})
}
