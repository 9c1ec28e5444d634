package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// stopWithin is when a node that was asked to stop is killed, as the platform does.
const stopWithin = 8 * time.Second

// node is one node's process, started again under the same name after it ended.
type node struct {
	name, program, dir string
	// store is the way from the node to the store.
	store               *Proxy
	frontend, directory string

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
	// ended is closed when the present process has ended.
	ended chan struct{}
}

func newNode(name, program, dir, store string) (*node, error) {
	proxy, err := NewProxy(store)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &node{name: name, program: program, dir: dir, store: proxy}
	addresses := standin.NodeAddresses{IP: ownLoopback(), FrontendPort: 7001, ReadyPort: 7002, DirectoryPort: 7003, PeerPort: 7004}
	n.frontend, n.directory = addresses.FrontendAddress(), addresses.DirectoryAddress()
	settings := standin.NodeSettings(name, "dc", proxy.Address(), addresses)
	if err := os.WriteFile(n.settings(), settings, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, errors.Trace(err)
}

func (n *node) settings() string { return filepath.Join(n.dir, n.name+".json") }

// given counts the IP numbers that this process gave to nodes.
var given atomic.Uint32

// ownLoopback returns a loopback IP number that only one node of this process has. On a
// number of their own, nodes find their ports free after each restart; on the usual one,
// three of fifty seeds weren't played since a connection had taken a port meanwhile.
func ownLoopback() string {
	const last = 250
	pid := os.Getpid()
	return net.IPv4(127, 1+byte(pid>>8)%127, byte(pid), 1+byte(given.Add(1)%last)).String()
}

// start begins a new process of the node, unless one runs.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return nil
	}
	cmd := exec.Command(n.program, "--config", n.settings())
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	go n.wait(cmd, n.ended)
	return nil
}

func (n *node) wait(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // how it ended is no matter: the plan ends processes in every way
	n.mu.Lock()
	n.cmd = nil
	n.mu.Unlock()
	close(ended)
}

// signal sends a signal to the present process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s) // it may have ended just now
	}
}

// kill ends the process and starts it again after a pause.
func (n *node) kill(down time.Duration) error {
	n.signal(syscall.SIGKILL)
	n.waitEnded(time.Second)
	time.Sleep(down)
	return n.start()
}

// stop asks the process to end, kills it after the grace, and starts it again.
func (n *node) stop() error {
	n.signal(syscall.SIGTERM)
	if !n.waitEnded(stopWithin) {
		n.signal(syscall.SIGKILL)
		n.waitEnded(time.Second)
	}
	return n.start()
}

func (n *node) waitEnded(most time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

func (n *node) close() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.waitEnded(time.Second)
	n.store.Close()
	_ = n.log.Close() // what is in it was written line by line
}
