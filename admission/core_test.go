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

// verdict is what a test's caller was told.
type verdict struct {
	item  *Request
	times int
	err   error
}

func offer(c *Scheduler, now time.Time, ask routing.Request) *verdict {
	v := &verdict{}
	v.item = c.Submit(now, ask, func(err error) {
		v.times++
		v.err = err
	})
	return v
}

func request(team, account string) routing.Request {
	return routing.Request{Service: "chat", Team: team, Account: account, PromptTokens: 1000}
}

// full returns a core whose limit is used up by another account.
func full(change func(*Settings)) (*Scheduler, []*verdict) {
	s := DefaultSettings(4)
	s.BelowShareReserve = 0
	if change != nil {
		change(&s)
	}
	c := NewScheduler(s)
	var held []*verdict
	for len(held) < 4 {
		held = append(held, offer(c, start, request("other", "other")))
	}
	return c, held
}

// serveNext releases one admitted request and returns those of the list that are
// admitted through it.
func serveNext(c *Scheduler, now time.Time, admitted *verdict, waiting []*verdict) *verdict {
	before := map[*verdict]bool{}
	for _, v := range waiting {
		before[v] = v.times > 0
	}
	c.Release(now, admitted.item)
	for _, v := range waiting {
		if !before[v] && v.times > 0 && v.err == nil {
			return v
		}
	}
	return nil
}

// A caller that is never told waits for ever; one told twice may run twice. Whatever
// comes in which order, each is told once and the bounds hold.
func TestEveryRequestGetsOneDecisionWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings(3)
		s.MaxQueue, s.MaxAccountQueue = 6, 4
		c := NewScheduler(s)
		now := start
		var all []*verdict
		left := map[*verdict]bool{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 5:
				a := request(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"))
				a.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				if rapid.Bool().Draw(t, "deadline") {
					a.Deadline = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "left")) * time.Millisecond)
				}
				all = append(all, offer(c, now, a))
			case step < 8 && len(all) > 0:
				c.Release(now, rapid.SampledFrom(all).Draw(t, "release").item)
			case step == 8 && len(all) > 0:
				v := rapid.SampledFrom(all).Draw(t, "leave")
				if c.Cancel(v.item) {
					left[v] = true
				}
			default:
				c.Observe(now, routing.Pressure{Running: 16, Waiting: float64(rapid.IntRange(0, 3).Draw(t, "waiting")), Slots: 16}, routing.Pressure{})
			}
			c.Expire(now)
			if c.Waiting() > s.MaxQueue || c.InFlight() > s.MaxLimit {
				t.Fatalf("%d wait, %d in flight", c.Waiting(), c.InFlight())
			}
		}
		c.Expire(now.Add(s.MaxWait))
		for i, v := range all {
			if want := map[bool]int{false: 1, true: 0}[left[v]]; v.times != want {
				t.Fatalf("request %d was told %d times, want %d", i, v.times, want)
			}
			c.Release(now, v.item)
		}
		if c.InFlight() != 0 || c.Waiting() != 0 || c.queue.backlog > 1e-6 {
			t.Fatalf("%d in flight, %d wait, backlog %f are left", c.InFlight(), c.Waiting(), c.queue.backlog)
		}
	})
}

// One team floods the fleet before the others come. Were requests served in the order
// of arrival the other teams would get nothing until the flood is through.
func TestTeamsAndAccountsShareByWeight(t *testing.T) {
	is := is.New(t)
	c, held := full(func(s *Settings) { s.MaxWait = time.Hour })
	var waiting []*verdict
	for range 60 {
		waiting = append(waiting, offer(c, start, request("flood", "flood")))
	}
	for range 60 {
		heavy := request("calm", "heavy")
		heavy.Weight = 3
		waiting = append(waiting, offer(c, start, heavy), offer(c, start, request("calm", "plain")))
	}
	served := map[string]int{}
	next := held[0]
	for range 80 {
		next = serveNext(c, start, next, waiting)
		served[next.item.account.name]++
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
	c, held := full(nil)
	low := offer(c, start, request("a", "x"))
	urgent := request("a", "x")
	urgent.Priority = 1
	high := offer(c, start, urgent)
	is.Equal(serveNext(c, start, held[0], []*verdict{low, high}), high)
}

// The queue is long already. A request that would only be late must be told at once
// and when to come back, not be held until its deadline has passed.
func TestLateRequestIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	c, held := full(func(s *Settings) { s.MaxWait = time.Minute })
	for range 20 {
		offer(c, start, request("a", "x"))
	}
	c.Release(start, held[0].item) // now a drain rate is known
	hurried := request("a", "x")
	hurried.Deadline = start.Add(2 * time.Second)
	late := offer(c, start, hurried)
	is.Equal(result.CodeOf(late.err), result.Overloaded)
	is.True(late.item.state == stateOver)
	is.True(result.From(late.err).RetryAfter > leastRetryAfter)
	hurried.Deadline = start.Add(2 * time.Minute)
	is.Equal(offer(c, start, hurried).times, 0)
}

// One account's flood fills the whole queue. A small account's request must not be
// turned away for it.
func TestFullQueueEvictsFromTheMostBackloggedAccount(t *testing.T) {
	is := is.New(t)
	c, _ := full(func(s *Settings) { s.MaxQueue, s.MaxAccountQueue = 10, 100 })
	var flood []*verdict
	for range 10 {
		flood = append(flood, offer(c, start, request("a", "flood")))
	}
	small := offer(c, start, request("b", "small"))
	is.Equal(small.times, 0)
	is.Equal(result.CodeOf(flood[9].err), result.Overloaded)
	is.Equal(flood[0].times, 0)
	is.Equal(result.CodeOf(offer(c, start, request("a", "flood")).err), result.Overloaded)
}

// Everybody asks for more than there is, for long. With a long queue everybody's
// answer is late, and as many are refused. Whoever had less than its share may still
// wait for its turn.
func TestStandingQueueShortensWaits(t *testing.T) {
	is := is.New(t)
	c, _ := full(nil)
	burst := offer(c, start, request("other", "other"))
	now := start.Add(500 * time.Millisecond)
	c.Expire(now)
	is.Equal(burst.times, 0) // a burst may wait
	now = start.Add(DefaultSettings(4).StandingAfter)
	c.Observe(now, routing.Pressure{Running: 16, Waiting: 0, Slots: 16}, routing.Pressure{})
	c.Expire(now)
	is.Equal(result.CodeOf(burst.err), result.Overloaded)
	heavy, light := offer(c, now, request("other", "other")), offer(c, now, request("a", "small"))
	is.True(c.Waiting() > 0)
	c.Expire(now.Add(200 * time.Millisecond))
	is.Equal(result.CodeOf(heavy.err), result.Overloaded)
	is.NoErr(light.err)
}

// The engines' queues grow: what they hold is served in their order, not fairly, and
// late. The limit must come down, and up again when they are free.
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

// Reports stop after a bad time, as when the engines' load interface fails. A limit
// that stayed low would go on refusing requests that the engines have room for.
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

// This region is full and the other one idles: requests refused now would be refused
// falsely. Once the other region is busy itself, or not heard of, they must not go on.
func TestOverflowGoesToAnIdleRegion(t *testing.T) {
	is := is.New(t)
	c, _ := full(nil)
	busy := routing.Pressure{Running: 16, Waiting: 1, Slots: 16}
	for range 10 {
		offer(c, start, request("a", "x"))
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
	is.True(retries <= 100+retryReserve)
	is.True(retries >= 99)
}
