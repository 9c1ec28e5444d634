package queuedelay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/tcpconn"
)

// Guards against a shut listener that lets callers wait, ends the server, or cuts the requests that it has taken on.
func TestShutListenerRefusesNewConnectionsOnly(t *testing.T) {
	is := is.New(t)
	address := ""
	l, err := Listen(func() (net.Listener, error) {
		if address == "" {
			return tcpconn.Listen("127.0.0.1:0", tcpconn.CallerLimits)
		}
		return tcpconn.Listen(address, tcpconn.CallerLimits)
	})
	is.NoErr(err)
	address = l.Addr().String()
	begun, answer := make(chan struct{}, 8), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-answer
		_, _ = io.WriteString(w, "served")
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	bodies := make(chan string, 2)
	get := func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + address)
		if err != nil {
			bodies <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body) // a cut body is shorter
		bodies <- string(body)
	}
	go get()
	<-begun
	l.Shut()
	l.Shut()
	_, err = net.Dial("tcp", address)
	is.True(err != nil)
	is.NoErr(l.Open())
	is.NoErr(l.Open())
	go get()
	<-begun
	close(answer)
	is.Equal(<-bodies, "served")
	is.Equal(<-bodies, "served")
	l.Shut()
	is.NoErr(l.Close()) // while it is shut
	is.True(errors.Is(<-served, net.ErrClosed))
	is.NoErr(l.Open()) // stays closed
	_, err = net.Dial("tcp", address)
	is.True(err != nil)
	is.True(errors.Is(l.Close(), net.ErrClosed))
}

// Guards against whole bodies that come unasked since the socket was opened again.
func TestReceiveBufferOutlastsShutting(t *testing.T) {
	is := is.New(t)
	l, err := Listen(func() (net.Listener, error) { return tcpconn.Listen("127.0.0.1:0", tcpconn.CallerLimits) })
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	accepted := func() int {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		a, err := l.Accept()
		is.NoErr(err)
		defer func() { _ = a.Close() }()
		return tcpconn.ReceiveBuffer(a)
	}
	const small, usual = 2048, 64 << 10
	is.True(accepted() > small) // the system's
	l.SetReceiveBuffer(small)
	is.Equal(accepted(), small)
	l.Shut()
	is.NoErr(l.Open())
	is.Equal(accepted(), small)
	l.Shut()
	l.SetReceiveBuffer(usual)
	is.NoErr(l.Open())
	is.Equal(accepted(), usual)
}

// Guards against a server that ends because its socket can't be opened again at once.
func TestListenerThatCannotOpenIsTriedAgain(t *testing.T) {
	is := is.New(t)
	var failure error
	l, err := Listen(func() (net.Listener, error) {
		if failure != nil {
			return nil, failure
		}
		return tcpconn.Listen("127.0.0.1:0", tcpconn.CallerLimits)
	})
	is.NoErr(err)
	accepted := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			err = c.Close()
		}
		accepted <- err
	}()
	l.Shut()
	failure = errors.New("in use")
	is.True(l.Open() != nil)
	failure = nil
	is.NoErr(l.Open())
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	is.NoErr(<-accepted)
	_ = c.Close()
	is.NoErr(l.Close())
}
