package main

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/logsink"
	"lavenderpin.dev/lavenderpin/platform"
)

// Guards against closing a connection whose response has been handed over but not yet written.
func TestLastResponseIsWrittenBeforeClose(t *testing.T) {
	is := is.New(t)
	p := &process{events: newRecorder(platform.Settings{}, logsink.New(io.Discard)), callers: newCallerConns()}
	const size = 64
	handled := make(chan struct{})
	p.frontend = p.newServer(p.inFlight.count(p.clock, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, size))
		close(handled)
	})))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = p.frontend.Serve(slowListener{listener}) }()
	bodies := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			bodies <- -1
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body) // a cut body is shorter
		bodies <- len(body)
	}()
	<-handled
	for !p.idle() {
		time.Sleep(time.Millisecond)
	}
	p.closeFrontend(10 * time.Second)
	is.Equal(<-bodies, size)
}

// slowListener delays each write of its connections.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return c.Conn.Write(p)
}
