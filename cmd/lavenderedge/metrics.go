package main

import (
	"bytes"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// publish registers a metric with expvar.
func (p *process) publish(name string, v expvar.Var) {
	if p.publishMetrics {
		expvar.Publish(name, v)
	}
}

// serveMetrics serves the metrics on a separate port, if one is set. A port that can't be
// opened is recorded as an event and doesn't stop the node.
func (p *process) serveMetrics() {
	if p.metricsPort == 0 {
		return
	}
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.metricsPort))
	listener, err := tcpconn.Listen(address, tcpconn.CallerLimits)
	if err != nil {
		p.events.Record(event.MetricsAbsent, "address", address, "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metricsHandler())
	go func() { _ = p.newServer(mux).Serve(listener) }() // until the process exits
}

// metricsHandler serves the metrics as JSON. What the runtime publishes of itself is left out but for the memory's totals: its
// list of size classes is longer than all of the node's metrics together, and comes before most of them.
func metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		var out bytes.Buffer
		out.WriteString("{")
		expvar.Do(func(kv expvar.KeyValue) {
			if kv.Key != "cmdline" && kv.Key != "memstats" {
				fmt.Fprintf(&out, "%q: %s,\n", kv.Key, kv.Value)
			}
		})
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		fmt.Fprintf(&out, `"memory": {"heap_bytes": %d, "system_bytes": %d, "collections": %d, "pauses_ms": %d}`+"}\n",
			memory.HeapAlloc, memory.Sys, memory.NumGC, memory.PauseTotalNs/uint64(time.Millisecond))
		_, _ = w.Write(out.Bytes()) // who disconnected asks again
	})
}
