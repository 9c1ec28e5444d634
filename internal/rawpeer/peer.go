// Package rawpeer has a server for tests whose answers are bytes that no HTTP server would send.
package rawpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Answer is what a request is answered with.
type Answer struct {
	// Begin is sent once, Repeated then again and again until the caller closes the connection.
	Begin, Repeated string
	// Close closes the connection behind Begin.
	Close bool
	// Later is sent once Send, if it isn't nil, brings a value.
	Later string
	Send  <-chan struct{}
}

// Peer is a server whose answers a test scripts.
type Peer struct {
	Address string
	// Requests and Conns count what was received.
	Requests, Conns atomic.Int64
	// Closed is closed when a connection has ended.
	Closed chan struct{}

	script func(n int64, r *http.Request) Answer
	closed sync.Once
}

// New starts a peer that ends with the test. The script is called with the number of the request.
func New(t testing.TB, script func(n int64, r *http.Request) Answer) *Peer {
	t.Helper()
	p := &Peer{Closed: make(chan struct{}), script: script}
	p.Address = listen(t, func(c *net.TCPConn) {
		p.Conns.Add(1)
		p.serve(c)
	})
	return p
}

// listen serves connections, each in a goroutine, until the test ends. It returns its address.
func listen(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// Always starts a peer that answers all requests alike.
func Always(t testing.TB, a Answer) *Peer {
	t.Helper()
	return New(t, func(int64, *http.Request) Answer { return a })
}

func (p *Peer) serve(c net.Conn) {
	defer p.closed.Do(func() { close(p.Closed) })
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // a body that was cut shows in the next reading
		a := p.script(p.Requests.Add(1), req)
		_, err = io.WriteString(c, a.Begin)
		if err == nil && a.Send != nil {
			<-a.Send
			_, err = io.WriteString(c, a.Later)
		}
		for err == nil && a.Repeated != "" {
			_, err = io.WriteString(c, a.Repeated)
		}
		if err != nil || a.Close {
			return
		}
	}
}
