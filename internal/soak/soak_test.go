package soak

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Real processes are killed, paused and stopped, and lose the store and their upstreams in
// every way of the plan, while callers go on. Whatever falls together, no promise may break.
func TestFixedSeedHasNoViolations(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	program := filepath.Join(dir, "lavenderedge")
	out, err := exec.Command("go", "build", "-o", program, "lavenderpin.dev/lavenderpin/cmd/lavenderedge").CombinedOutput()
	if err != nil {
		t.Fatalf("%s", out)
	}
	report, err := Run(context.Background(), Options{Program: program, Dir: dir, Seed: 1, Nodes: 4, Length: 8 * time.Second})
	is.NoErr(err)
	for _, v := range report.Violations {
		t.Error(v)
	}
	if t.Failed() {
		keep(t, dir)
	}
}

// keep prints the ends of the nodes' logs: the folder goes with the test.
func keep(t *testing.T, dir string) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range logs {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s:\n%s", path, raw[max(0, len(raw)-4_000):])
	}
}

// A fault that isn't injected finds nothing: each mode of the proxy must do what it says.
func TestProxyModes(t *testing.T) {
	is := is.New(t)
	reached := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached <- struct{}{}
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	p, err := NewProxy(strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer p.Close()
	get := func(most time.Duration) error {
		client := &http.Client{Timeout: most, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + p.Address())
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	const patient, short = 30 * time.Second, 300 * time.Millisecond
	is.NoErr(get(patient))
	<-reached
	p.SetMode(Slow)
	is.NoErr(get(patient))
	<-reached
	p.SetMode(DropResponses)
	is.True(get(short) != nil)
	<-reached // the request got through, its answer didn't
	p.SetMode(Blackhole)
	is.True(get(short) != nil)
	is.Equal(len(reached), 0)
	p.SetMode(Refuse)
	is.True(get(patient) != nil)
	p.SetMode(Pass)
	is.NoErr(get(patient))
}
