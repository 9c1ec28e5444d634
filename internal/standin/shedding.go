package standin

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// shedTolerance is how long after a refusal requests may still arrive that were on their way.
const shedTolerance = 500 * time.Millisecond

// Shedding makes an upstream refuse requests and ask their senders for a pause, with 503 and
// Retry-After. It counts what arrives although a pause was asked for, so it suits tests in
// which one node sends. Requests that cancel another are served.
type Shedding struct {
	mu sync.Mutex
	// pause is what is asked for; 0 while nothing is refused.
	pause       time.Duration
	refusedAt   time.Time
	until       time.Time
	arrivals    int
	refused     int
	duringPause int
}

// Refuse refuses each request from now on and asks for a pause; 0 serves again. A pause that
// was asked for before still counts.
func (s *Shedding) Refuse(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = pause
}

// Arrivals returns how many requests arrived, refused ones included.
func (s *Shedding) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// Refused returns how many requests were refused.
func (s *Shedding) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// DuringPause returns how many requests arrived although a pause was asked for, not counting
// those that may have been on their way.
func (s *Shedding) DuringPause() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duringPause
}

// Paused reports whether the time that was asked for hasn't ended.
func (s *Shedding) Paused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until)
}

func (s *Shedding) handle(ctx context.Context, c *app.RequestContext) {
	if string(c.Path()) == cancelPath {
		c.Next(ctx)
		return
	}
	pause := s.arrived(time.Now())
	if pause == 0 {
		c.Next(ctx)
		return
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	c.Header("Retry-After", strconv.Itoa(int(math.Ceil(pause.Seconds()))))
	c.String(http.StatusServiceUnavailable, "shedding load")
	c.Abort()
}

// arrived counts a request and returns the pause to ask for; 0 if it is served.
func (s *Shedding) arrived(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	if now.Before(s.until) && now.Sub(s.refusedAt) >= shedTolerance {
		s.duringPause++
	}
	if s.pause == 0 {
		return 0
	}
	s.refused++
	if !now.Before(s.until) {
		s.refusedAt, s.until = now, now.Add(s.pause)
	}
	return s.pause
}
