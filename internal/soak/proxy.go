package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode is what a proxy does with the connections through it.
type Mode int

const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Slow hands them on after slowBy.
	Slow
	// Blackhole takes bytes and hands nothing on, in either direction.
	Blackhole
	// DropResponses hands requests on and no answers.
	DropResponses
	// Refuse resets new connections and those that are open.
	Refuse
)

// slowBy is the delay of each chunk in mode Slow: a far region's round trip and more.
const slowBy = 150 * time.Millisecond

// Proxy stands before one address on loopback.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy starts a proxy before target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns IP:PORT.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. Refuse resets what is open.
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

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close() // it may be closed already
	p.Reset()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a closed one needs no reset
	}
	_ = c.Close() // as above
}

func (p *Proxy) current() Mode {
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
		if p.current() == Refuse {
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

// copy hands bytes on until either side ends; answers tells their direction.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := p.current()
		if mode == Slow {
			time.Sleep(slowBy)
		}
		if n > 0 && mode != Blackhole && (mode != DropResponses || !answers) {
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
