package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Service is a stand-in plain service. It counts how often each request body ran
// and echoes the body.
type Service struct {
	server   *server.Hertz
	delay    time.Duration
	shedding Shedding
	leaving  Leaving

	mu              sync.Mutex
	runs            map[string]int
	responsesToDrop int
}

// NewService returns a service that serves on the listener once Run is called and delays
// each response by delay.
func NewService(listener net.Listener, delay time.Duration) *Service {
	s := &Service{server: newServer(listener), delay: delay, runs: map[string]int{}}
	s.server.Use(s.leaving.handle, s.shedding.handle)
	s.server.Any("/*path", s.call)
	return s
}

// Run serves until Close.
func (s *Service) Run() error { return s.server.Run() }

// Close stops serving at once.
func (s *Service) Close() { _ = s.server.Close() }

// Shedding returns the service's refusals, which tests switch on and off.
func (s *Service) Shedding() *Shedding { return &s.shedding }

// Leaving returns the service's announcement that it is leaving, which tests switch on and off.
func (s *Service) Leaving() *Leaving { return &s.leaving }

// Runs returns how often each body ran: a body represents one observation or work
// order, so a count above one is a duplicate.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, count := range s.runs {
		runs[body] = count
	}
	return runs
}

// DropResponses makes the next n calls run and then close their connection without a response.
func (s *Service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

func (s *Service) takeResponseDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToDrop == 0 {
		return false
	}
	s.responsesToDrop--
	return true
}

func (s *Service) call(_ context.Context, c *app.RequestContext) {
	body := c.Request.Body()
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	time.Sleep(s.delay)
	if s.takeResponseDrop() {
		_ = c.GetConn().Close()
		return
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	c.Data(200, "application/json", append([]byte(nil), body...))
}
