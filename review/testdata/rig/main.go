// Command rig runs one case of the review: nodes as separate processes with the command of the deploy file, and in this
// process the stand-ins for the platform's store, the engines, the operator and the clients. It exits with 1 if the
// rule of the case was broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...)) // what is lost shows
}

func (r *record) outcome(o *outcome) {
	r.line("client: %s %s %s to %s sent %.3f kept %v: status %d stamp %q events %d %s", o.ID, o.Method, o.Path, o.Node, o.Sent.Sub(r.begun).Seconds(), o.Kept, o.Status, o.Stamp, len(o.Events), o.Err)
}

func (r *record) runs(e *engine) {
	for _, x := range e.allRuns() {
		r.line("engine %s ran %s %s %s for %q from %.3f: %s", e.id, x.ID, x.Method, x.Target, x.Tenant, x.Begun.Sub(r.begun).Seconds(), x.State)
	}
}

// rig is the running case.
type rig struct {
	log     *record
	trouble bool
	dir     string
	base    string
	command []string
	// repository is the root of the repository.
	repository string
	store      *store
	nodes      []*node
	engines    []*engine
	version    int
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (bool, error){}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY RECORD")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	r := &rig{repository: os.Args[2], log: &record{file: file, begun: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	// Loopback addresses of this run alone, so that several runs don't meet.
	r.base = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()/200%200, os.Getpid()%200)
	defer r.close()
	if r.command, err = runCommand(os.Args[2]); err == nil {
		err = r.begin()
	}
	broken := false
	if err == nil {
		broken, err = play(r)
	}
	for _, e := range r.engines {
		r.log.runs(e)
	}
	switch {
	case err != nil:
		r.log.line("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitNotRun
	case broken:
		r.log.line("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.log.line("the rule held")
	fmt.Println("held")
	return exitHeld
}

// begin starts the store.
func (r *rig) begin() error {
	var err error
	r.store, err = newStore(r.base + "1:8223")
	return err
}

func (r *rig) close() {
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range r.nodes {
			if raw, err := os.ReadFile(filepath.Join(r.dir, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), raw, 0o600)
			}
		}
	}
	for _, n := range r.nodes {
		n.close()
	}
}

// ip returns a loopback address of this run.
func (r *rig) ip(number int) string { return fmt.Sprintf("%s%d", r.base, number) }

// addNodes adds machines in the zones given and starts them.
func (r *rig) addNodes(zones ...string) error {
	for _, zone := range zones {
		i := len(r.nodes)
		n, err := newNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, r.ip(10+i), r)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		_ = n.writeSettings(r.store.address, false) // for later starts
	}
	return nil
}

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, n := range r.nodes {
			if ready(n) {
				count++
			}
		}
		if count == len(r.nodes) {
			r.log.line("all %d nodes are ready", count)
			return nil
		}
	}
	return fmt.Errorf("not all nodes were ready after %v", timeout)
}

// addEngine starts an engine.
func (r *rig) addEngine(o engineOptions) (*engine, error) {
	o.ip = r.ip(100 + len(r.engines))
	e := newEngine(o, r.store, r.log)
	r.engines = append(r.engines, e)
	return e, e.start(time.Now())
}

// The services and the key of the only tenant.
const (
	llmService   = "huvo11a"
	plainService = "wuno96b"
	tenantName   = "hule930"
	tenantKey    = "n2ctnfzs989anu6wsjnb"
)

// configure writes a configuration with the routes of a small deployment.
func (r *rig) configure(prepaid int) {
	r.version += 3
	route := func(name, prefix, kind, service string, timeout, objective, attempts int, resume bool) map[string]any {
		return map[string]any{"name": name, "hostname": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": objective, "priority": 1, "service": service,
			"maxAttempts": attempts, "anonymous": false, "sessionAffinity": service == llmService, "streamResume": resume, "targetGapMs": 250}
	}
	raw, _ := json.Marshal(map[string]any{ // always encodes
		"version": r.version,
		"routes": []any{
			route("r-report", "/lohu930/", "streaming", llmService, 15000, 800, 2, true),
			route("r-question", "/pufi791/", "streaming", llmService, 12000, 800, 1, false),
			route("r-order", "/puxa403/", "non_idempotent", plainService, 2000, 300, 1, false),
			route("r-read", "/cufi504/", "idempotent", plainService, 2000, 300, 2, false),
		},
		"services": []any{
			map[string]any{"name": llmService, "healthPath": "/healthz", "maxConnections": 230, "protocol": "h1", "tls": false, "engineId": map[string]any{"slots": 32, "kvCapacity": 556662, "stride": 6, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "prepaid": prepaid}},
	})
	r.store.put(wire.OperatorTopic, "config", raw)
	r.log.line("configuration %d is acknowledged", r.version)
}
