package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/tcpconn"
)

// callerConns are the listener for callers and their open connections.
type callerConns struct {
	// accepted is closed once the server accepts no further connections and has taken note of all.
	accepted chan struct{}

	mu       sync.Mutex
	listener net.Listener
	leaving  bool
	// open holds the open connections.
	open map[net.Conn]*callerConn
}

// callerConn is an open connection of a caller.
type callerConn struct {
	state http.ConnState
	// answered is how many bytes of an idle connection belong to requests that were answered, from the
	// time on when the process stops.
	answered uint64
}

func newCallerConns() *callerConns {
	return &callerConns{accepted: make(chan struct{}), open: make(map[net.Conn]*callerConn)}
}

// track takes note of a connection's state; it fits http.Server.ConnState.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		tcpconn.MarkIdle(conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
		c.open[conn] = &callerConn{state: state}
		if state == http.StateIdle && c.leaving {
			c.open[conn].answered = tcpconn.Received(conn)
		}
	}
}

// listen sets the listener that the server accepts from.
func (c *callerConns) listen(l net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = l
}

// pending reports whether connections wait to be accepted.
func (c *callerConns) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listener != nil && tcpconn.HasPending(c.listener)
}

// leave takes note that the process stops. Connections that are idle, or get idle with the answer of an earlier
// request, may still bring one request; its answer closes them.
func (c *callerConns) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for conn, open := range c.open {
		if open.state == http.StateIdle {
			open.answered = tcpconn.Received(conn)
		}
	}
}

// busy reports whether a connection waits to be accepted, or has a request that waits to be read, is being
// read or has not been answered whole. It holds only after leave.
func (c *callerConns) busy() bool {
	if c.pending() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, open := range c.open {
		if open.state == http.StateActive || tcpconn.Received(conn) > open.answered {
			return true
		}
	}
	return false
}

// hasNew reports whether a connection has not brought a request yet.
func (c *callerConns) hasNew() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, open := range c.open {
		if open.state == http.StateNew {
			return true
		}
	}
	return false
}

// served takes note that the server has accepted its last connection.
func (c *callerConns) served() { close(c.accepted) }

// stopAccepting closes the listener, so that the system refuses further connections, and waits until all
// accepted ones are known.
func (c *callerConns) stopAccepting(timeout time.Duration) {
	c.mu.Lock()
	listener := c.listener
	c.mu.Unlock()
	if listener == nil {
		return
	}
	_ = listener.Close() // may have been closed by the server
	select {
	case <-c.accepted:
	case <-time.After(timeout):
	}
}
