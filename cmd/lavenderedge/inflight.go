package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

// inFlightRequests counts the requests in flight.
type inFlightRequests struct {
	n atomic.Int64
	// lastAt is the boot clock reading at which the last request came.
	lastAt atomic.Int64
}

func (o *inFlightRequests) count(clock bootclock.Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.lastAt.Store(int64(clock.Now()))
		o.n.Add(1)
		defer o.n.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// recentRequests is how long after a request others are expected.
const recentRequests = time.Second

// recent reports whether requests are in flight or came a moment ago.
func (o *inFlightRequests) recent(clock bootclock.Clock) bool {
	last := o.lastAt.Load()
	return o.n.Load() > 0 || last != 0 && clock.Now()-time.Duration(last) < recentRequests
}
