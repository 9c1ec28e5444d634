package throttle

import "time"

// maxRetryAfter bounds the delay while upstreams take hardly any requests: they may take more soon.
const maxRetryAfter = 10 * time.Second

// RetryAfter returns when a caller may come back whose request was rejected because the upstreams that are left are
// at their limits: the time until one of them takes another request from any node, since the caller may come
// back to another one, and no less than spread, by which a crowd is spread. perSecond is the sum of the limits.
func RetryAfter(perSecond float64, spread time.Duration) time.Duration {
	next := maxRetryAfter
	if perSecond > 1/maxRetryAfter.Seconds() {
		next = time.Duration(float64(time.Second) / perSecond)
	}
	return max(next, spread)
}
