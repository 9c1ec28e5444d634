package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
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
	ports, err := freePorts(4)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n.frontend, n.directory = loopback(ports[0]), loopback(ports[2])
	settings := standin.NodeSettings(name, "dc", proxy.Address(), n.frontend, loopback(ports[1]), n.directory, ports[3])
	if err := os.WriteFile(n.settings(), settings, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, errors.Trace(err)
}

func (n *node) settings() string { return filepath.Join(n.dir, n.name+".json") }

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// freePorts returns ports that are free on loopback now.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
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
