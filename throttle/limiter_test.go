package throttle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a burst at an upstream of which nothing is known yet, and against holding back once it has answered.
func TestFewRequestsUntilFirstAnswer(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.AwaitAnswer(2)
	is.True(l.TryOpen(1, time.Second, 0))
	is.True(!l.TryOpen(2, time.Second, 0))
	is.True(!l.Allows(2, time.Second))
	l.Heard()
	is.True(l.TryOpen(1000, time.Second, 0))
	l.AwaitAnswer(0) // one at least: otherwise it would never answer
	is.True(l.TryOpen(0, time.Second, 0))
}

// Guards against telling callers to come back sooner than an upstream takes another request, or never.
func TestRetryAfterIsWhenLimitAllowsAnother(t *testing.T) {
	is := is.New(t)
	is.Equal(RetryAfter(0.25, time.Second), 4*time.Second)
	is.Equal(RetryAfter(50, time.Second), time.Second)
	is.Equal(RetryAfter(0.01, time.Second), maxRetryAfter)
	is.Equal(RetryAfter(0, time.Second), maxRetryAfter)
}
