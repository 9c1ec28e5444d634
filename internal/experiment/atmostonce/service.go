package atmostonce

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/idempotency"
)

// service counts how often each call ran.
type service struct {
	time time.Duration
	mu   sync.Mutex
	runs map[string]int
}

func (s *service) call(name string) (idempotency.Response, error) {
	s.mu.Lock()
	s.runs[name]++
	s.mu.Unlock()
	time.Sleep(s.time)
	return idempotency.Response{Status: 200, Body: []byte(name)}, nil
}

func (s *service) ran(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[name]
}
