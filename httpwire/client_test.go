package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
)

// peer is a server of which a test scripts each connection.
type peer struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// newPeer answers each request of a connection by script; an empty answer closes it.
func newPeer(t *testing.T, script func(n int64, r *http.Request) string) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serve(c, script)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, script func(int64, *http.Request) string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer := script(p.requests.Add(1), req)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (p *peer) address() string { return p.listener.Addr().String() }

func newTestClient() *Client {
	return NewClient(Options{Clock: bootclock.System{}, DialTimeout: time.Second})
}

func get(c *Client, address string) (int, string, error) {
	a, err := c.Do(context.Background(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return a.Status, string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"

// An upstream closes a kept connection as the next request is on its way. Common clients
// send such a request again by themselves; an order filed that way may run twice.
func TestNeverResendsRequest(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(n int64, _ *http.Request) string {
		if n == 1 {
			return okAnswer
		}
		return ""
	})
	c := newTestClient()
	_, body, err := get(c, p.address())
	is.NoErr(err)
	is.Equal(body, "ok")
	_, _, err = get(c, p.address())
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent))
	time.Sleep(20 * time.Millisecond)
	is.Equal(p.requests.Load(), int64(2))
}

// Nothing listens at an address. The caller may be served elsewhere, also with a request
// that must run at most once, since nothing was sent.
func TestReportsThatNothingWasSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, _, err = get(newTestClient(), address)
	is.True(errors.Is(err, ErrNotSent))
}

// A faulty upstream sends a second answer after a whole one. It belongs to no request;
// taken for the next one's answer, it would reach another caller.
func TestSurplusBytesReachNoCaller(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(n int64, _ *http.Request) string {
		if n == 1 {
			return okAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
		}
		return okAnswer
	})
	c := newTestClient()
	for range 2 {
		_, body, err := get(c, p.address())
		is.NoErr(err)
		is.Equal(body, "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(p.conns.Load(), int64(2))
}

// The second answer arrives only when the next request has been sent, right where its
// answer is expected. The mark in the answer tells them apart.
func TestLateResponseOfAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ int64, _ *http.Request) string {
		return "HTTP/1.1 200 OK\r\nMark: old\r\nContent-Length: 5\r\n\r\nwrong" +
			"HTTP/1.1 200 OK\r\nMark: new\r\nContent-Length: 5\r\n\r\nright"
	})
	a, err := newTestClient().Do(context.Background(), p.address(), &Request{Method: http.MethodGet, Target: "/", Host: "h",
		Matches: func(h http.Header) bool { return h.Get("Mark") == "new" }})
	is.NoErr(err)
	defer a.Close()
	body, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(body), "right")
}

// A caller leaves. Closing the connection is what stops the upstream's work, which would
// otherwise go on for nobody.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	arrived := make(chan struct{})
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		close(arrived)
		_, _ = r.ReadByte()
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err = newTestClient().Do(ctx, listener.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	is.True(errors.Is(err, context.Canceled))
	<-closed
}

// An upstream answers before it has read a long body and keeps the connection open. The
// rest of the body would be taken for the next request.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	hold := make(chan struct{})
	defer close(hold)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = bufio.NewReaderSize(c, 16).ReadByte()
				_, _ = io.WriteString(c, okAnswer)
				<-hold
			}()
		}
	}()
	c := newTestClient()
	a, err := c.Do(context.Background(), listener.Addr().String(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)})
	is.NoErr(err)
	_, err = io.ReadAll(a)
	is.NoErr(err)
	a.Close()
	is.Equal(len(c.idle[listener.Addr().String()]), 0)
}

// An answer without a length ends with its connection. One that is reset on the way must
// not look whole.
func TestUnframedResponseIsCompleteOnlyAfterOrderlyClose(t *testing.T) {
	is := is.New(t)
	for _, reset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}()
		a, err := newTestClient().Do(context.Background(), listener.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		is.NoErr(err)
		is.True(!a.Framed)
		_, err = io.ReadAll(a)
		is.Equal(err != nil, reset)
		a.Close()
		_ = listener.Close()
	}
}

// An upstream says for how long it keeps a connection. Using it longer would lose a
// request in the close.
func TestConnectionIsDroppedBeforePeerClosesIt(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	p := newPeer(t, func(int64, *http.Request) string { return strings.Replace(okAnswer, "timeout=9", "timeout=1", 1) })
	c := NewClient(Options{Clock: clock, DialTimeout: time.Second})
	_, _, err := get(c, p.address())
	is.NoErr(err)
	clock.Advance(500 * time.Millisecond)
	_, _, err = get(c, p.address())
	is.NoErr(err)
	is.Equal(p.conns.Load(), int64(1))
	clock.Advance(700 * time.Millisecond)
	_, _, err = get(c, p.address())
	is.NoErr(err)
	is.Equal(p.conns.Load(), int64(2))
	clock.Advance(time.Second)
	c.Sweep()
	is.Equal(len(c.idle), 0)
}

// A caller has left while its tokens were being looked for. Nothing may be sent any more,
// also not over a connection that is ready.
func TestNothingIsSentAfterCancel(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(int64, *http.Request) string { return okAnswer })
	c := newTestClient()
	_, _, err := get(c, p.address())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		_, err = c.Do(ctx, p.address(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		is.True(errors.Is(err, ErrNotSent))
	}
	time.Sleep(20 * time.Millisecond)
	is.Equal(p.requests.Load(), int64(1))
}
