package main

import (
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/platform"
)

func freePort(t *testing.T) int {
	t.Helper()
	return freePorts(t, 1)[0]
}

// freePorts returns different free ports: all are open until the last is drawn.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }() // only the port number is needed
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// Guards against a node whose metrics can't be scraped during an incident, and against a node
// that doesn't serve because its metrics port is already in use.
func TestServesMetricsOnSeparatePort(t *testing.T) {
	is := is.New(t)
	expvar.NewInt("metrics_test").Set(7)
	p := &process{settings: platform.Settings{IP: "127.0.0.1"}, metricsPort: freePort(t),
		events: event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), "n", 16, log.NewNopLogger())}
	p.serveMetrics()
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get("http://127.0.0.1:" + strconv.Itoa(p.metricsPort) + "/metrics")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	var metrics map[string]json.RawMessage
	is.NoErr(json.Unmarshal(raw, &metrics))
	is.Equal(string(metrics["metrics_test"]), "7")
	p.serveMetrics() // the port is in use now
	is.Equal(p.events.Counts()[event.MetricsAbsent.Kind().Name], uint64(1))
}
