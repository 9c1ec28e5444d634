package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a node; each node has a loopback address of its own.
const (
	frontendPort  = 8227
	readyPort     = 8220
	directoryPort = 8224
	controlPort   = 8229
	peerPort      = 7340
	lastPeerPort  = 7355
)

// restartPause is how long after its end a process is started again.
const restartPause = 300 * time.Millisecond

// node is a machine of the system, whose process is started again whenever it ends.
type node struct {
	name, zone, ip, dir string
	// command is run in the repository's root.
	command    []string
	repository string
	log        *record

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	stopped bool
	// ends are the ends of its processes, asked those that the rig caused.
	ends  []processEnd
	asked bool
}

// processEnd is the end of a process; own is set if nobody ended it.
type processEnd struct {
	at    time.Time
	own   bool
	state string
}

// regions of the zones.
var regions = map[string]string{"casco": "gulf-maine", "penobscot": "gulf-maine", "buzzards": "southern-new-england"}

func newNode(name, zone, ip string, r *rig) (*node, error) {
	n := &node{name: name, zone: zone, ip: ip, dir: r.dir, command: r.command, repository: r.repository, log: r.log}
	return n, n.writeSettings(r.store.address, true)
}

func (n *node) at(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

func (n *node) writeSettings(storeAddress string, first bool) error {
	raw, err := json.MarshalIndent(map[string]any{
		"nodeName": n.name, "role": "edge", "machineClass": "edge", "serves": []string{"edge", "registry"},
		"ip": n.ip, "zone": n.zone, "region": regions[n.zone], "zones": regions,
		"listen":    map[string]string{"frontend": n.at(frontendPort), "ready": n.at(readyPort), "controlPlane": n.at(controlPort), "directory": n.at(directoryPort)},
		"portRange": []int{peerPort, lastPeerPort}, wire.Seeds: []string{}, "firstStart": first, "faultCounted": false,
		"limits":  map[string]any{"cpuQuota": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
		"guarantees":     []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 6000, "revokeFailClosed": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtra": 54, "recoverS": 12, "passMs": 400, "retryAfterS": 10, "settle_ms": 1500, "ttl_max_s": 5},
		"platform": map[string]any{"address": storeAddress, "form": "log", "writesPerS": 600, "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbPerS": 20.0,
			"readMbPerS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath(), raw, 0o600)
}

func (n *node) settingsPath() string { return filepath.Join(n.dir, n.name+".json") }

// start starts the process.
func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.command[0], n.command[1:]...)
	cmd.Env = []string{"LAVENDERPIN_CONFIG=" + n.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.repository, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process, n.exited, n.asked = cmd.Process, make(chan struct{}), false
	go n.wait(cmd, n.exited, out)
	return nil
}

func (n *node) wait(cmd *exec.Cmd, exited chan struct{}, out *os.File) {
	_ = cmd.Wait() // the state tells
	_ = out.Close()
	n.mu.Lock()
	end := processEnd{time.Now(), !n.asked, cmd.ProcessState.String()}
	n.ends = append(n.ends, end)
	n.process = nil
	stopped := n.stopped
	n.mu.Unlock()
	close(exited)
	n.log.line("process of %s ends, by itself: %v (%s)", n.name, end.own, end.state)
	if stopped {
		return
	}
	time.Sleep(restartPause)
	_ = n.start() // a node that doesn't start again shows in what its callers get
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.asked = true
	}
	_ = n.process.Signal(s) // it may have ended
	n.log.line("signal %v to %s", s, n.name)
}

// close ends the process for good.
func (n *node) close() {
	n.mu.Lock()
	n.stopped = true
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-exited
}

// ownEnds returns how often the process ended by itself.
func (n *node) ownEnds() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, e := range n.ends {
		if e.own {
			count++
		}
	}
	return count
}

// runCommand returns the words of the run line of the deploy file, with the program as an absolute path.
func runCommand(repository string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(repository, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, found := strings.CutPrefix(strings.ReplaceAll(line, " =", "="), "run="); found {
			words := strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
			words[0] = filepath.Join(repository, words[0])
			return words, nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}
