package queuedelay

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/tcpconn"
)

const (
	// pendingPollInterval and maxPendingTime are how often it is looked whether connections wait to be accepted, and for how
	// long, before a listener is closed: the system resets those that still wait.
	pendingPollInterval = time.Millisecond
	maxPendingTime      = 20 * time.Millisecond
)

// Listener accepts connections; while it is shut, nothing listens at its address, and the system refuses them at once. It is
// safe for concurrent use.
type Listener struct {
	listen func() (net.Listener, error)

	mu      sync.Mutex
	current net.Listener // nil while it is shut
	// reopened is closed once the listener is open again, or closed.
	reopened chan struct{}
	closed   bool
	// receiveBuffer is the size of the receive buffer of accepted connections; 0 for the system's.
	receiveBuffer int
}

// Listen opens a listener; listen opens its socket, now and whenever it is opened again.
func Listen(listen func() (net.Listener, error)) (*Listener, error) {
	current, err := listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Listener{listen: listen, current: current, reopened: make(chan struct{})}, nil
}

// Accept waits for the next connection; it fails only once the listener is closed, or if accepting does while it is open.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		current, reopened, closed := l.state()
		if closed {
			return nil, net.ErrClosed
		}
		if current == nil {
			<-reopened
			continue
		}
		c, err := current.Accept()
		if err == nil {
			return c, nil
		}
		if now, _, _ := l.state(); now == current {
			return nil, err
		}
	}
}

func (l *Listener) state() (current net.Listener, reopened <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.reopened, l.closed
}

// Shut closes the socket until Open.
func (l *Listener) Shut() {
	current, _, _ := l.state()
	if current == nil {
		return
	}
	for waited := time.Duration(0); waited < maxPendingTime && tcpconn.HasPending(current); waited += pendingPollInterval {
		time.Sleep(pendingPollInterval)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == current {
		l.current = nil
		_ = current.Close() // it was open
	}
}

// Open opens the socket again.
func (l *Listener) Open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.current != nil {
		return nil
	}
	current, err := l.listen()
	if err != nil {
		return errors.Trace(err)
	}
	l.current = current
	l.applyReceiveBuffer()
	close(l.reopened)
	l.reopened = make(chan struct{})
	return nil
}

// SetReceiveBuffer sets the size in bytes of the receive buffer of connections that open from now on.
func (l *Listener) SetReceiveBuffer(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receiveBuffer = bytes
	l.applyReceiveBuffer()
}

// applyReceiveBuffer sets the size on the open socket. The caller holds mu.
func (l *Listener) applyReceiveBuffer() {
	if l.current != nil && l.receiveBuffer > 0 {
		_ = tcpconn.SetReceiveBuffer(l.current, l.receiveBuffer) // without a socket there is no buffer
	}
}

// Close closes the listener for good.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	close(l.reopened)
	if l.current == nil {
		return nil
	}
	current := l.current
	l.current = nil
	return current.Close()
}

// Addr returns the address; nil while the listener is shut.
func (l *Listener) Addr() net.Addr {
	current, _, _ := l.state()
	if current == nil {
		return nil
	}
	return current.Addr()
}

// SyscallConn returns access to the listening socket.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	current, _, _ := l.state()
	if sc, ok := current.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.NotSupportedf("a listener without a socket")
}
