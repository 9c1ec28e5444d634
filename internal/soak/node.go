package soak

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// stopTimeout is how long a node may take to stop before it is killed, as the platform does.
const stopTimeout = 8 * time.Second

// node is one node's process, restarted under the same name after it ends.
type node struct {
	name, program, dir string
	// storeProxy forwards the node's connections to the store.
	storeProxy          *Proxy
	frontend, directory string
	ip                  netip.Addr

	log *os.File

	mu sync.Mutex
	// current is the running process; nil if there is none.
	current *process
	// stops are the processes that were asked to end and have ended.
	stops []processStop
}

// process is one process of a node.
type process struct {
	cmd *exec.Cmd
	// terminated is when the process was first asked to end; zero if never.
	terminated time.Time
	// exited is closed when the process has exited.
	exited chan struct{}
}

// processStop is a process that was asked to end at terminated and ended at exited.
type processStop struct{ terminated, exited time.Time }

func newNode(name string, o Options, at place, store string) (*node, error) {
	proxy, err := NewProxy(store)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &node{name: name, program: o.Program, dir: o.Dir, storeProxy: proxy}
	n.ip = uniqueLoopback()
	addresses := standin.NodeAddresses{IP: n.ip.String(), FrontendPort: 7001, ReadyPort: 7002, DirectoryPort: 7003, PeerPort: 7004}
	n.frontend, n.directory = addresses.FrontendAddress(), addresses.DirectoryAddress()
	regions := map[string]string{places[0].dataCentre: places[0].region}
	if o.Places {
		regions[places[1].dataCentre] = places[1].region
	}
	settings := standin.NodeSettings(name, at.dataCentre, regions, proxy.Address(), addresses)
	if err := os.WriteFile(n.settings(), settings, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	n.log, err = os.Create(filepath.Join(o.Dir, name+".log"))
	return n, errors.Trace(err)
}

func (n *node) settings() string { return filepath.Join(n.dir, n.name+".json") }

// assignedIPs counts the IP addresses that this process assigned.
var assignedIPs atomic.Uint32

// uniqueLoopback returns a loopback IP address that only one node or upstream of this process has.
// On an address of their own they find their ports free after each restart; on 127.0.0.1 a
// connection may have taken a port in the meantime.
func uniqueLoopback() netip.Addr {
	const last = 250
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, 1 + byte(pid>>8)%127, byte(pid), 1 + byte(assignedIPs.Add(1)%last)})
}

// start starts the node's process unless it is running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil {
		return nil
	}
	cmd := exec.Command(n.program, "--config", n.settings())
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	n.current = &process{cmd: cmd, exited: make(chan struct{})}
	go n.wait(n.current)
	return nil
}

func (n *node) wait(p *process) {
	_ = p.cmd.Wait() // the exit status is irrelevant: the plan ends processes in every way
	n.mu.Lock()
	n.current = nil
	if !p.terminated.IsZero() {
		n.stops = append(n.stops, processStop{p.terminated, time.Now()})
	}
	n.mu.Unlock()
	close(p.exited)
}

// signal sends a signal to the current process and returns it, nil if there is none.
func (n *node) signal(s syscall.Signal) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.current
	if p == nil {
		return nil
	}
	if s == syscall.SIGTERM && p.terminated.IsZero() {
		p.terminated = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // it may have just exited
	return p
}

// exitTimeout bounds the time that a killed process takes to end. On a busy machine that is seconds, in
// which its sockets are open.
const exitTimeout = 30 * time.Second

// kill kills the process, waits until it has ended, and starts it again after a pause.
func (n *node) kill(down time.Duration) error {
	if !n.signal(syscall.SIGKILL).waitExit(exitTimeout) {
		return errors.Errorf("%s hasn't ended %s after it was killed", n.name, exitTimeout)
	}
	time.Sleep(down)
	return n.start()
}

// stop asks the process to end, kills it after stopTimeout, and starts it again.
func (n *node) stop() error {
	p := n.signal(syscall.SIGTERM)
	if !p.waitExit(stopTimeout) {
		return n.kill(0)
	}
	return n.start()
}

// plannedStops returns the planned stops so far.
func (n *node) plannedStops() []processStop {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.stops)
}

// waitExit reports whether the process ends in time; a nil process has ended.
func (p *process) waitExit(timeout time.Duration) bool {
	if p == nil {
		return true
	}
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

func (n *node) close() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL).waitExit(time.Second)
	n.storeProxy.Close()
	_ = n.log.Close() // every line is already written
}
