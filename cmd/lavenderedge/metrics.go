package main

import (
	"expvar"
	"net"
	"net/http"
	"strconv"

	"lavenderpin.dev/lavenderpin/event"
)

// serveMetrics serves the metrics on a port of their own, if one is set.
func (p *process) serveMetrics() {
	if p.metricsPort == 0 {
		return
	}
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.metricsPort))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		p.events.Record(event.MetricsAbsent, "address", address, "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", expvar.Handler())
	go func() { _ = p.server(mux).Serve(listener) }() // ends with the process
}
