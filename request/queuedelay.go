package request

import (
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/shedding"
)

// Delay returns how long a request waits at this node in queues that it doesn't see; zero if that isn't measured.
func (s *Server) Delay() time.Duration {
	if s.QueueDelay == nil {
		return 0
	}
	return s.QueueDelay()
}

// RefuseLate returns the recorded refusal of a request that would be answered too late for its timeout, as it waits in
// queues at this node; nil if it may be read and run. A part is refused, which grows with the wait.
func (s *Server) RefuseLate(timeout time.Duration) error {
	wait := s.Delay()
	if wait == 0 || timeout <= 0 || shedding.DefaultPolicy().Admit(wait, timeout, rand.Float64()) {
		return nil
	}
	return s.RecordRefusal(result.New(result.NodeBusy, "a request waits %v at this node, its timeout is %v", wait.Round(time.Millisecond), timeout).WithRetryAfter(drain.RetryAfter))
}

// timeLeft returns how much of a caller's timeout is left to this node.
func (s *Server) timeLeft(timeout time.Duration) time.Duration {
	return queuedelay.TimeLeft(min(timeout, MaxTimeout), 0, s.Delay())
}
