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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the port is wanted, not the listener
	return l.Addr().(*net.TCPAddr).Port
}

// Monitoring that can't fetch a node's figures leaves an incident without them; a port that is
// taken must not keep the node from serving.
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
	var figures map[string]json.RawMessage
	is.NoErr(json.Unmarshal(raw, &figures))
	is.Equal(string(figures["metrics_test"]), "7")
	p.serveMetrics() // the port is taken now
	is.Equal(p.events.Counts()[event.MetricsAbsent.Kind().Name], uint64(1))
}
