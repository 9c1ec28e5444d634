// Package fleet2 starts a small deployment for the review's scripts: a stand-in of the platform's store, stand-ins of
// engines, and nodes as separate processes, all on loopback addresses.
package fleet2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// MemoryMB is the limit of a node's memory; the platform kills a process that exceeds it.
const MemoryMB = 284

// Host is the host of all routes.
const Host = "review.example"

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Fleet is a running deployment.
type Fleet struct {
	Store *Store
	Nodes []*Node
	dir   string
	// record is the file that the case writes to.
	record *os.File
}

// Node is one node process.
type Node struct {
	Name, Zone, Frontend, Ready, Directory string
	settings, log                          string
	metricsPort                            int
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
}

// Zones maps the zones of the deployment to their regions.
var Zones = map[string]string{"casco": "gulf-maine", "penobscot": "gulf-maine", "buzzards": "southern-new-england"}

// New starts the store; nothing else runs yet. recordPath is the case's record.txt.
func New(recordPath string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "lavenderpin-review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, dir: dir, record: record}, nil
}

// Logf writes a line to the record.
func (f *Fleet) Logf(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	fmt.Fprintln(f.record, line)
}

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	f.Store.Close()
	_ = f.record.Close()
	_ = os.RemoveAll(f.dir)
}

// freePorts returns ports of an address on which nothing listens.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // once all are chosen, so that none is chosen twice
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// AddNode starts a node in a zone. Each node has a loopback address of its own.
func (f *Fleet) AddNode(zone string) (*Node, error) {
	number := len(f.Nodes) + 1
	ip := fmt.Sprintf("127.1.%d.%d", os.Getpid()%256, number) // cases that run beside each other don't share addresses
	ports, err := freePorts(ip, 6)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return net.JoinHostPort(ip, fmt.Sprint(ports[i])) }
	n := &Node{Name: fmt.Sprintf("edge-%s-%d", zone, number), Zone: zone, Frontend: address(0), Ready: address(1), Directory: address(2), metricsPort: ports[5]}
	settings := map[string]any{
		"nodeName": n.Name, "role": "edge", "machineClass": "edge", "serves": []string{"edge", "registry"}, "ip": ip, "zone": zone, "region": Zones[zone], "zones": Zones,
		"listen":    map[string]any{"frontend": n.Frontend, "ready": n.Ready, "controlPlane": address(3), "directory": n.Directory},
		"portRange": []int{ports[4], ports[4]}, wire.Seeds: []string{}, "firstStart": true, "faultCounted": true,
		"limits":  map[string]any{"cpuQuota": 0.4, "cores": 1, "memoryMb": MemoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
		"guarantees":     []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 6000, "revokeFailClosed": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtra": 54, "recoverS": 12, "passMs": 400, "retryAfterS": 10, "settle_ms": 1500, "ttl_max_s": 5},
		"platform": map[string]any{"address": f.Store.Address(), "form": "log", "writesPerS": 600, "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbPerS": 20.0,
			"readMbPerS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 20, "partMb": 200, "ttlMinMs": 1000},
	}
	n.settings, n.log = filepath.Join(f.dir, n.Name+".json"), filepath.Join(f.dir, n.Name+".log")
	if err := writeSettings(n.settings, settings); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	if err := n.Start(); err != nil {
		return nil, err
	}
	settings["firstStart"] = false // later starts
	time.AfterFunc(3*time.Second, func() { _ = writeSettings(n.settings, settings) })
	return n, nil
}

func writeSettings(path string, settings any) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/lavenderedge", "--metrics-port", fmt.Sprint(n.metricsPort))
	cmd.Env = append(os.Environ(), "LAVENDERPIN_CONFIG="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // how it ended doesn't matter here
		close(exited)
	}(n.exited)
	return nil
}

// Memory returns the memory that the process holds, in bytes; zero once it has ended.
func (n *Node) Memory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	var size, resident int64
	if _, scanErr := fmt.Sscan(string(raw), &size, &resident); err != nil || scanErr != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill() // it may have ended
	<-n.exited
}

// IsReady reports whether the node says that it is ready.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range f.Nodes {
			if n.IsReady() {
				ready++
			}
		}
		if ready == len(f.Nodes) {
			return nil
		}
	}
	return errors.New("the nodes aren't ready")
}

// Service is a service in the configuration.
type Service struct {
	Name string
	// KVCapacity is the memory of its engines in tokens; zero for a plain service.
	KVCapacity, Slots int
}

// Route is a route in the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	TimeoutMs, ObjectiveMs      int
	MaxAttempts                 int
	Resume                      bool
}

// Tenant is a tenant in the configuration.
type Tenant struct {
	Name, Key string
	Prepaid   int64
}

// Configure writes a configuration as the operator does.
func (f *Fleet) Configure(version int, services []Service, routes []Route, tenants []Tenant) {
	var s, r, t []any
	for _, x := range services {
		one := map[string]any{"name": x.Name, "maxConnections": 230, "healthPath": "/healthz"}
		if x.KVCapacity > 0 {
			one["engineId"] = map[string]any{"slots": x.Slots, "stride": TokensPerEvent, "kvCapacity": x.KVCapacity}
		}
		s = append(s, one)
	}
	for _, x := range routes {
		r = append(r, map[string]any{"name": x.Name, "hostname": Host, "pathPrefix": x.Prefix, "kind": x.Kind, "service": x.Service, "timeoutMs": x.TimeoutMs,
			"targetLatencyMs": x.ObjectiveMs, "targetGapMs": 250, "maxAttempts": x.MaxAttempts, "streamResume": x.Resume, "sessionAffinity": x.Resume})
	}
	for _, x := range tenants {
		t = append(t, map[string]any{"name": x.Name, "apiKeys": []string{x.Key}, "prepaid": x.Prepaid})
	}
	raw, err := json.Marshal(map[string]any{"version": version, "routes": r, "services": s, "tenants": t,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	f.Store.Put(wire.OperatorTopic, "config", raw)
	f.Logf("configuration %d written", version)
}

// RecordName returns the path of record.txt in the folder that the script names.
func RecordName() string {
	return filepath.Join(strings.TrimSpace(os.Getenv("CASE_DIR")), "record.txt")
}
