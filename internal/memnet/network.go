package memnet

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Cut is how a path between two hosts is cut.
type Cut int

const (
	// Silent drops all packets: connections hang and hold what is written until the cut ends, and
	// no connection can be opened.
	Silent Cut = iota + 1
	// Refuse leaves open connections alone and refuses new ones.
	Refuse
	// Reset resets open connections and refuses new ones.
	Reset
)

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	healed    *sync.Cond
	listeners map[string]*listener
	cuts      map[path]Cut
	conns     map[*conn]bool
	ports     int
	dials     map[path]int
	links     map[string]*link
	delays    map[path]time.Duration
}

// path is a pair of hosts in either order.
type path struct{ a, b string }

func pathBetween(x, y string) path {
	if x > y {
		x, y = y, x
	}
	return path{x, y}
}

// New returns a network without hosts.
func New() *Network {
	n := &Network{listeners: make(map[string]*listener), cuts: make(map[path]Cut), conns: make(map[*conn]bool), dials: make(map[path]int), links: make(map[string]*link), delays: make(map[path]time.Duration)}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// Listen listens at an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, accepted: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// backlog is the number of connections that wait to be accepted.
const backlog = 256

// DialFrom returns a function that opens connections from a host.
func (n *Network) DialFrom(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	remote, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	between := pathBetween(host, remote)
	n.mu.Lock()
	n.dials[between]++
	n.mu.Unlock()
	if err := n.awaitPath(ctx, between); err != nil {
		return nil, dialError(address, err)
	}
	if err := n.passHandshake(ctx, host, remote); err != nil {
		return nil, dialError(address, err)
	}
	n.mu.Lock()
	refused := n.listeners[address] == nil
	n.mu.Unlock()
	if err := n.passHandshake(ctx, remote, host); err != nil {
		return nil, dialError(address, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if refused || l == nil {
		return nil, dialError(address, syscall.ECONNREFUSED)
	}
	n.ports++
	client, server := n.newPair(between, net.JoinHostPort(host, strconv.Itoa(firstPort+n.ports)), address)
	select {
	case l.accepted <- server:
		return client, nil
	default:
		return nil, dialError(address, os.ErrDeadlineExceeded) // the opening packet is dropped
	}
}

// firstPort is the first of the ports from which connections are opened.
const firstPort = 30_000

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: err}
}

// awaitPath waits while the path is silent.
func (n *Network) awaitPath(ctx context.Context, between path) error {
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.healed.Broadcast()
	})
	defer stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cuts[between] == Silent && ctx.Err() == nil {
		n.healed.Wait()
	}
	if ctx.Err() != nil {
		return os.ErrDeadlineExceeded
	}
	if n.cuts[between] != 0 {
		return syscall.ECONNREFUSED
	}
	return nil
}

// Cut cuts the path between two hosts.
func (n *Network) Cut(x, y string, how Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	between := pathBetween(x, y)
	n.cuts[between] = how
	if how != Reset {
		return
	}
	for c := range n.conns {
		if c.between == between {
			c.resetLocked()
		}
	}
}

// Heal ends the cut between two hosts; what connections hold arrives.
func (n *Network) Heal(x, y string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	between := pathBetween(x, y)
	delete(n.cuts, between)
	n.healed.Broadcast()
	for c := range n.conns {
		if c.between == between {
			c.deliverHeldLocked()
		}
	}
}

// Dials returns how many connections two hosts tried to open between each other.
func (n *Network) Dials(x, y string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[pathBetween(x, y)]
}

// addr is an IP:port address.
type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// listener accepts connections at an address.
type listener struct {
	network  *Network
	address  string
	accepted chan *conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		for {
			select {
			case c := <-l.accepted: // nobody will accept it
				c.closed = true
				delete(l.network.conns, c)
				c.peer.resetLocked()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// deadline wakes the waiters of a connection at a time.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(at time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if !at.IsZero() {
		d.timer = time.AfterFunc(time.Until(at), wake)
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }
