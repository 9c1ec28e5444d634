package soak

import (
	"context"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Mode is how a proxy treats its connections.
type Mode int

const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Slow forwards each chunk after slowDelay.
	Slow
	// Blackhole reads bytes and forwards nothing, in either direction. A connection that lost
	// bytes forwards none in that direction afterwards either, since TCP leaves no gaps.
	Blackhole
	// DropResponses forwards requests but no responses, otherwise like Blackhole.
	DropResponses
	// Refuse resets new and open connections.
	Refuse
)

// slowDelay is the delay of each chunk in mode Slow: more than a round trip to a distant region.
const slowDelay = 150 * time.Millisecond

// wayInterval is how often a connection looks whether its client is still cut off.
const wayInterval = 20 * time.Millisecond

// Proxy is a TCP proxy on loopback for one target address.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	// cut holds the clients that are cut off.
	cut map[netip.Addr]bool
}

// NewProxy starts a proxy for target.
func NewProxy(target string) (*Proxy, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets take no packet filter
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]bool), cut: make(map[netip.Addr]bool)}
	go p.accept()
	return p, nil
}

// Address returns the proxy's own address as IP:PORT.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. Refuse also resets the open connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	if mode == Refuse {
		p.Reset()
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// CutClient cuts a client off, or ends that: nothing passes in either direction, and attempts to connect
// get no answer. Connections that outlast it deliver what was held back. With reset, the client's open
// connections are reset first.
func (p *Proxy) CutClient(client netip.Addr, cut, withReset bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut {
		p.cut[client] = true
	} else {
		delete(p.cut, client)
	}
	if err := p.filterLocked(p.listener); err != nil {
		return errors.Trace(err)
	}
	for c := range p.conns {
		if clientOf(c) != client {
			continue
		}
		if withReset {
			reset(c)
		} else if err := p.filterLocked(c); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// filterLocked makes a socket drop what comes from clients that are cut off.
func (p *Proxy) filterLocked(socket any) error {
	err := dropPacketsFrom(socket.(syscall.Conn), slices.Collect(maps.Keys(p.cut)))
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

// awaitWay waits while the client of a connection is cut off.
func (p *Proxy) awaitWay(c net.Conn) {
	for client := clientOf(c); p.isCut(client); {
		time.Sleep(wayInterval)
	}
}

func (p *Proxy) isCut(client netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[client]
}

func clientOf(c net.Conn) netip.Addr {
	return c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // it may be closed already
	p.Reset()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection, which needs no reset
	}
	_ = c.Close() // it may be closed already
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the proxy was closed
		}
		if p.currentMode() == Refuse {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(server, client, false) })
	wait.Go(func() { p.copy(client, server, true) })
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards bytes until either side ends; isResponse tells their direction.
func (p *Proxy) copy(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		mode := p.currentMode()
		if mode == Slow {
			time.Sleep(slowDelay)
		}
		if isResponse {
			p.awaitWay(to)
		}
		lost = lost || n > 0 && (mode == Blackhole || mode == DropResponses && isResponse)
		if n > 0 && !lost {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // the other side may be gone
			return
		}
		reset(to)
		return
	}
}
