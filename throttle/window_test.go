package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against limiting upstreams that aren't brittle, or no more.
func TestLimitsOnlyWhileAnnounced(t *testing.T) {
	is := is.New(t)
	var l Limiter
	is.True(l.Allows(1000, 0))
	l.Rejected(6, 0, 0)
	l.Succeeded(Load{}, 0, 0)
	is.True(l.TryOpen(1000, 0, 0))
	is.True(l.Announce(5, 6, 6, 0, 0))
	is.True(!l.Announce(5, 6, 6, 0, 0))
	is.True(l.Allows(0, time.Second))
	is.True(!l.Allows(1, time.Second))
	is.True(l.Revoke())
	is.True(!l.Revoke())
	is.True(l.Allows(1000, 0))
	l.Announce(5, 6, 6, 0, 0)
	is.True(l.Allows(1000, announcementTTL+1)) // it was silent since
}

// modelUpstream runs and queues requests and falls over when it rejects too many within a second.
type modelUpstream struct {
	slots, queue, limit int
	work                time.Duration
	ends                []time.Duration
	rejections          []time.Duration
	falls               int
	downUntil           time.Duration
}

// offer offers a request at a time; it returns when it ends, or false if it is rejected.
func (u *modelUpstream) offer(now time.Duration) (time.Duration, bool) {
	open := u.ends[:0]
	for _, e := range u.ends {
		if e > now {
			open = append(open, e)
		}
	}
	u.ends = open
	if len(u.ends) >= u.slots+u.queue {
		u.reject(now)
		return 0, false
	}
	end := now + u.work
	if len(u.ends) >= u.slots {
		end = u.ends[len(u.ends)-u.slots] + u.work
	}
	u.ends = append(u.ends, end)
	return end, true
}

func (u *modelUpstream) reject(now time.Duration) {
	recent := []time.Duration{now}
	for _, at := range u.rejections {
		if now-at < time.Second {
			recent = append(recent, at)
		}
	}
	u.rejections = recent
	if len(recent) > u.limit {
		u.falls++
		u.downUntil, u.ends, u.rejections = now+4*time.Second, nil, nil
	}
}

// openRequest is a request that a node has open.
type openRequest struct {
	startedAt, end time.Duration
	load           Load
}

// Guards against nodes that together make a brittle upstream fall over by sending it more than it has
// room for, and against leaving it idle instead.
func TestNodesTogetherStayWithinTheLimit(t *testing.T) {
	for _, c := range []struct{ nodes, slots, limit int }{{6, 6, 3}, {6, 6, 10}, {18, 6, 3}, {18, 24, 5}, {60, 6, 2}, {300, 6, 5}, {6, 64, 5}} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, 3))
		u := &modelUpstream{slots: c.slots, queue: 2, limit: c.limit, work: 30 * time.Millisecond}
		limiters := make([]Limiter, c.nodes)
		open := make([][]openRequest, c.nodes)
		served, offered := 0, 0.0
		const duration, step = 30 * time.Second, time.Millisecond
		capacity := float64(c.slots) / u.work.Seconds()
		for now := time.Duration(0); now < duration; now += step {
			for offered += 3 * capacity * step.Seconds(); offered > 1; offered-- { // three times what it can serve
				i := random.IntN(c.nodes)
				l := &limiters[i]
				l.Announce(c.limit, c.slots, c.nodes, now, random.Float64())
				for len(open[i]) > 0 && open[i][0].end <= now {
					l.Succeeded(open[i][0].load, open[i][0].end-open[i][0].startedAt, now)
					open[i] = open[i][1:]
				}
				if !l.TryOpen(len(open[i]), now, random.Float64()) {
					continue
				}
				if now < u.downUntil {
					l.Failed(now, random.Float64())
					continue
				}
				end, ok := u.offer(now)
				if !ok {
					l.Rejected(c.nodes, now, random.Float64())
					continue
				}
				load := Load{Running: min(len(u.ends), c.slots), Waiting: max(0, len(u.ends)-c.slots), Slots: c.slots}
				open[i] = append(open[i], openRequest{now, end, load})
				served++
			}
		}
		share := float64(served) / (capacity * duration.Seconds())
		t.Logf("%+v: %d falls, served %.2f of the capacity", c, u.falls, share)
		is.True(u.falls <= 2)
		is.True(share >= 0.4)
	}
}
