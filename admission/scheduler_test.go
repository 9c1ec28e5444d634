package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

var start = time.Unix(1000, 0)

// outcome records the decisions that a test's caller received.
type outcome struct {
	req   *Request
	times int
	err   error
}

func submit(c *Scheduler, now time.Time, params routing.Request) *outcome {
	v := &outcome{}
	v.req = c.Submit(now, params, func(err error) {
		v.times++
		v.err = err
	})
	return v
}

func request(team, account string) routing.Request {
	return routing.Request{Service: "chat", Team: team, Account: account, PromptTokens: 1000}
}

// newFullScheduler returns a scheduler whose limit is used up by another account.
func newFullScheduler(change func(*Settings)) (*Scheduler, []*outcome) {
	s := DefaultSettings(4)
	s.BelowShareReserve = 0
	if change != nil {
		change(&s)
	}
	c := NewScheduler(s)
	var held []*outcome
	for len(held) < 4 {
		held = append(held, submit(c, start, request("other", "other")))
	}
	return c, held
}

// releaseAndNext releases one admitted request and returns the waiting request that is admitted
// as a result.
func releaseAndNext(c *Scheduler, now time.Time, admitted *outcome, waiting []*outcome) *outcome {
	before := map[*outcome]bool{}
	for _, v := range waiting {
		before[v] = v.times > 0
	}
	c.Release(now, admitted.req)
	for _, v := range waiting {
		if !before[v] && v.times > 0 && v.err == nil {
			return v
		}
	}
	return nil
}

// A caller that gets no decision waits forever; one that gets two may run twice. In any order
// of events, each gets exactly one and the bounds hold.
func TestEveryRequestGetsOneDecisionWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings(3)
		s.MaxQueue, s.MaxAccountQueue = 6, 4
		c := NewScheduler(s)
		now := start
		var all []*outcome
		canceled := map[*outcome]bool{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 5:
				a := request(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"))
				a.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				if rapid.Bool().Draw(t, "deadline") {
					a.Deadline = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "left")) * time.Millisecond)
				}
				all = append(all, submit(c, now, a))
			case step < 8 && len(all) > 0:
				c.Release(now, rapid.SampledFrom(all).Draw(t, "release").req)
			case step == 8 && len(all) > 0:
				v := rapid.SampledFrom(all).Draw(t, "leave")
				if c.Cancel(v.req) {
					canceled[v] = true
				}
			default:
				c.Observe(now, routing.Pressure{Running: 16, Waiting: float64(rapid.IntRange(0, 3).Draw(t, "waiting")), Slots: 16}, routing.Pressure{})
			}
			c.Expire(now)
			if c.Waiting() > s.MaxQueue || c.InFlight() > s.MaxLimit {
				t.Fatalf("%d waiting, %d in flight", c.Waiting(), c.InFlight())
			}
		}
		c.Expire(now.Add(s.MaxWait))
		for i, v := range all {
			if want := map[bool]int{false: 1, true: 0}[canceled[v]]; v.times != want {
				t.Fatalf("request %d got %d decisions, want %d", i, v.times, want)
			}
			c.Release(now, v.req)
		}
		if c.InFlight() != 0 || c.Waiting() != 0 || c.queue.backlog > 1e-6 {
			t.Fatalf("%d in flight, %d waiting, backlog %f remain", c.InFlight(), c.Waiting(), c.queue.backlog)
		}
	})
}

// One team fills the queue before the others arrive. In order of arrival, the other teams would
// get nothing until that backlog is served.
func TestTeamsAndAccountsShareByWeight(t *testing.T) {
	is := is.New(t)
	c, held := newFullScheduler(func(s *Settings) { s.MaxWait = time.Hour })
	var waiting []*outcome
	for range 60 {
		waiting = append(waiting, submit(c, start, request("flood", "flood")))
	}
	for range 60 {
		heavy := request("calm", "heavy")
		heavy.Weight = 3
		waiting = append(waiting, submit(c, start, heavy), submit(c, start, request("calm", "plain")))
	}
	served := map[string]int{}
	next := held[0]
	for range 80 {
		next = releaseAndNext(c, start, next, waiting)
		served[next.req.account.name]++
	}
	near := func(account string, want int) {
		got := served[account]
		is.True(got >= want-2 && got <= want+2) // within two requests of the exact share
	}
	near("flood", 40)
	near("heavy", 30)
	near("plain", 10)
}

func TestHigherPriorityGoesFirstWithinAccount(t *testing.T) {
	is := is.New(t)
	c, held := newFullScheduler(nil)
	low := submit(c, start, request("a", "x"))
	urgent := request("a", "x")
	urgent.Priority = 1
	high := submit(c, start, urgent)
	is.Equal(releaseAndNext(c, start, held[0], []*outcome{low, high}), high)
}

// The queue is already long. A request that would miss its deadline must be refused immediately
// with a retry delay, not held until the deadline has passed.
func TestLateRequestIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	c, held := newFullScheduler(func(s *Settings) { s.MaxWait = time.Minute })
	for range 20 {
		submit(c, start, request("a", "x"))
	}
	c.Release(start, held[0].req) // the drain rate is known from here on
	params := request("a", "x")
	params.Deadline = start.Add(2 * time.Second)
	late := submit(c, start, params)
	is.Equal(result.CodeOf(late.err), result.Overloaded)
	is.True(late.req.state == stateDone)
	is.True(result.From(late.err).RetryAfter > minRetryAfter)
	params.Deadline = start.Add(2 * time.Minute)
	is.Equal(submit(c, start, params).times, 0)
}

// One account fills the whole queue. A small account's request must not be refused because of
// it.
func TestFullQueueEvictsFromTheMostBackloggedAccount(t *testing.T) {
	is := is.New(t)
	c, _ := newFullScheduler(func(s *Settings) { s.MaxQueue, s.MaxAccountQueue = 10, 100 })
	var flood []*outcome
	for range 10 {
		flood = append(flood, submit(c, start, request("a", "flood")))
	}
	small := submit(c, start, request("b", "small"))
	is.Equal(small.times, 0)
	is.Equal(result.CodeOf(flood[9].err), result.Overloaded)
	is.Equal(flood[0].times, 0)
	is.Equal(result.CodeOf(submit(c, start, request("a", "flood")).err), result.Overloaded)
}

// Demand exceeds capacity for a long time. With a long queue every answer is late and just as
// many requests are refused. Accounts below their share may still wait for their turn.
func TestStandingQueueShortensWaits(t *testing.T) {
	is := is.New(t)
	c, _ := newFullScheduler(nil)
	burst := submit(c, start, request("other", "other"))
	now := start.Add(500 * time.Millisecond)
	c.Expire(now)
	is.Equal(burst.times, 0) // a burst may wait
	now = start.Add(DefaultSettings(4).StandingAfter)
	c.Observe(now, routing.Pressure{Running: 16, Waiting: 0, Slots: 16}, routing.Pressure{})
	c.Expire(now)
	is.Equal(result.CodeOf(burst.err), result.Overloaded)
	heavy, light := submit(c, now, request("other", "other")), submit(c, now, request("a", "small"))
	is.True(c.Waiting() > 0)
	c.Expire(now.Add(200 * time.Millisecond))
	is.Equal(result.CodeOf(heavy.err), result.Overloaded)
	is.NoErr(light.err)
}

// The engines' queues grow. Requests queued there are served late and in engine order, not
// fairly. The limit must fall, and rise again when the engines are free.
func TestLimitFollowsEngineQueues(t *testing.T) {
	is := is.New(t)
	c := NewScheduler(DefaultSettings(100))
	for range 20 {
		c.Observe(start, routing.Pressure{Running: 100, Waiting: 50, Slots: 100}, routing.Pressure{})
	}
	low := c.Limit()
	is.True(low < 40)
	for range 20 {
		c.Observe(start, routing.Pressure{Running: 50, Slots: 100}, routing.Pressure{})
	}
	is.Equal(c.Limit(), 100)
}

// Reports stop after a period of overload, as when the engines' load endpoint fails. A limit
// that stayed low would keep refusing requests that the engines have room for.
func TestLimitRecoversWithoutReports(t *testing.T) {
	is := is.New(t)
	c := NewScheduler(DefaultSettings(100))
	for range 40 {
		c.Observe(start, routing.Pressure{Running: 100, Waiting: 50, Slots: 100}, routing.Pressure{})
	}
	for range 200 {
		c.Observe(start, routing.Pressure{}, routing.Pressure{})
	}
	is.Equal(c.Limit(), 100)
}

// This region is full and the other one idles: refusing requests now would be wrong. Once the
// other region is busy itself, or its reports stop, the overflow must end.
func TestOverflowGoesToAnIdleRegion(t *testing.T) {
	is := is.New(t)
	c, _ := newFullScheduler(nil)
	busy := routing.Pressure{Running: 16, Waiting: 1, Slots: 16}
	for range 10 {
		submit(c, start, request("a", "x"))
		c.Observe(start, busy, routing.Pressure{Running: 4, Slots: 32})
	}
	is.True(c.InFlight() > 8)
	is.True(c.LocalLimit() <= 4)
	for range 30 {
		c.Observe(start, busy, routing.Pressure{Running: 32, Waiting: 4, Slots: 32})
	}
	is.Equal(c.Limit(), c.LocalLimit())
}

// An engine fails a part of its requests. Retries must not multiply the load.
func TestRetriesStayWithinTheirRatio(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.FirstAttempt()
		for b.TryRetry() {
			retries++
		}
	}
	is.True(retries <= 100+maxRetryBalance)
	is.True(retries >= 99)
}
