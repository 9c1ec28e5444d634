package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Service is a stand-in plain service. It counts how often each request id ran
// and echoes the body.
type Service struct {
	server *server.Hertz
	delay  time.Duration

	mu   sync.Mutex
	runs map[string]int
	lose int
}

// NewService returns a service that serves on the listener once Run is called and
// takes delay for each call.
func NewService(listener net.Listener, delay time.Duration) *Service {
	s := &Service{server: newServer(listener), delay: delay, runs: map[string]int{}}
	s.server.Any("/*path", s.call)
	return s
}

// Run serves until Close.
func (s *Service) Run() error { return s.server.Run() }

// Close stops serving at once.
func (s *Service) Close() { _ = s.server.Close() }

// Runs returns how often each body ran: a body stands for one observation or
// work order, so a count above one is a duplicate.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// DropResponses makes the next n calls run and then end their connection unanswered.
func (s *Service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

func (s *Service) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

func (s *Service) call(_ context.Context, c *app.RequestContext) {
	body := c.Request.Body()
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	time.Sleep(s.delay)
	if s.loses() {
		_ = c.GetConn().Close()
		return
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	c.Data(200, "application/json", append([]byte(nil), body...))
}
