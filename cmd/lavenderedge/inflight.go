package main

import (
	"net/http"
	"sync/atomic"
)

// inFlightRequests counts the requests in flight.
type inFlightRequests struct{ n atomic.Int64 }

func (o *inFlightRequests) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.n.Add(1)
		defer o.n.Add(-1)
		next.ServeHTTP(w, r)
	})
}
