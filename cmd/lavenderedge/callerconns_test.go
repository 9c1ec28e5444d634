package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/logsink"
	"lavenderpin.dev/lavenderpin/platform"
)

// busyListener accepts connections, and lets them read, only once the process has time for it.
type busyListener struct {
	net.Listener
	accept, read <-chan struct{}
}

func (l *busyListener) Accept() (net.Conn, error) {
	<-l.accept
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &busyConn{c.(*net.TCPConn), l.read}, nil
}

type busyConn struct {
	*net.TCPConn
	read <-chan struct{}
}

func (c *busyConn) Read(p []byte) (int, error) {
	<-c.read
	return c.TCPConn.Read(p)
}

// Guards against ending a busy process while a request waits to be accepted or read: its caller gets a reset, and can't know
// that it hasn't run.
func TestProcessEndsOnlyOnceWaitingRequestsAreAnswered(t *testing.T) {
	for _, name := range []string{"not accepted", "not read"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, open := make(chan struct{}), make(chan struct{})
			close(open)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			listener := &busyListener{inner, gate, open}
			if name == "not read" {
				listener.accept, listener.read = open, gate
			}
			p := &process{events: newRecorder(platform.Settings{}, logsink.New(io.Discard)), callers: newCallerConns()}
			p.frontend = p.newServer(p.inFlight.count(p.clock, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })))
			p.frontend.ConnState = p.callers.track
			p.callers.listen(inner)
			go func() {
				_ = p.frontend.Serve(listener)
				p.callers.served()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second) // fails instead of hanging
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inner.Addr().String(), nil)
			is.NoErr(err)
			answered := make(chan error, 1)
			go func() {
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					err = resp.Body.Close()
				}
				answered <- err
			}()
			for p.idle() && ctx.Err() == nil { // until the request has arrived
			}
			is.NoErr(ctx.Err())
			close(gate)
			for p.callers.pending() && ctx.Err() == nil {
			}
			p.callers.stopAccepting(10 * time.Second)
			for (p.callers.hasNew() || !p.idle()) && ctx.Err() == nil {
			}
			p.closeFrontend(10 * time.Second)
			is.NoErr(<-answered)
		})
	}
}

// Guards against ending while a caller that has connected is about to send its request.
func TestNewConnectionsAreKnown(t *testing.T) {
	is := is.New(t)
	c := newCallerConns()
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	is.True(!c.hasNew())
	c.track(server, http.StateNew)
	is.True(c.hasNew())
	is.True(!c.busy())
	c.track(server, http.StateActive)
	is.True(!c.hasNew())
	is.True(c.busy())
	c.track(server, http.StateIdle)
	is.True(!c.busy())
	c.leave()
	is.True(!c.busy())
	c.track(server, http.StateClosed)
	is.Equal(len(c.open), 0)
}

// Guards against a process that waits for its grace period to end because callers keep connections without a request.
func TestKeptConnectionsDoNotDelayTheEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := newCallerConns()
	begun, answer := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: c.track, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/open" {
			close(begun)
			<-answer
		}
	})}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }()
	c.listen(listener)
	client := &http.Client{Timeout: 10 * time.Second}
	get := func(path string) {
		resp, err := client.Get("http://" + listener.Addr().String() + path)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		get("/open")
	}()
	<-begun
	get("/kept")
	c.leave()
	is.True(c.busy()) // a request is open
	close(answer)
	<-done
	for c.busy() { // until the server has taken note of the end of the answers
	}
	is.Equal(len(c.open), 2)
}
