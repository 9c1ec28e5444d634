package rawpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// drainTime is for how long an early peer that closes in order reads on: a peer that closes with bytes unread resets.
const drainTime = 5 * time.Second

// Early is an answer that is sent once the headers of a request have arrived, while its body is still being sent.
type Early struct {
	// Answer is sent at once. Script, if it isn't nil, makes it of the request's head.
	Answer string
	Script func(r *http.Request) string
	// Wait is how long the connection stays open after it.
	Wait time.Duration
	// Reset resets the connection. Otherwise this side of it is closed in order, and the rest of the request is read.
	Reset bool
}

// NewEarly starts a peer that ends with the test and answers each request early. It returns its address.
func NewEarly(t testing.TB, e Early) string {
	t.Helper()
	return listen(t, e.serve)
}

func (e Early) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	answer := e.Answer
	if e.Script != nil {
		answer = e.Script(req)
	}
	if _, err := io.WriteString(c, answer); err != nil {
		return
	}
	time.Sleep(e.Wait)
	if e.Reset {
		_ = c.SetLinger(0) // the test notices that no reset came
		return
	}
	_ = c.CloseWrite() // the caller may be gone
	_ = c.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.Copy(io.Discard, c) // whatever ends it
}
