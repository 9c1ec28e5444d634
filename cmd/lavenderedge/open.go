package main

import (
	"net/http"
	"sync/atomic"
)

// openRequests counts the requests that are being answered.
type openRequests struct{ n atomic.Int64 }

func (o *openRequests) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.n.Add(1)
		defer o.n.Add(-1)
		next.ServeHTTP(w, r)
	})
}
