package atmostonce

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/idempotency"
)

// service simulates a non-idempotent service and counts how often each call ran.
type service struct {
	duration time.Duration
	mu       sync.Mutex
	runs     map[string]int
}

func (s *service) call(name string) (idempotency.Response, error) {
	s.mu.Lock()
	s.runs[name]++
	s.mu.Unlock()
	time.Sleep(s.duration)
	return idempotency.Response{Status: 200, Body: []byte(name)}, nil
}

func (s *service) runCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[name]
}
