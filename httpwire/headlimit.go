package httpwire

import (
	"errors"
	"fmt"
	"io"
)

// MaxHeadBytes bounds the status line and the headers of a response, in bytes, together with what a read buffer takes beyond
// them. Those of upstreams have a few hundred bytes.
const MaxHeadBytes = 64 << 10

// ErrHeadTooLong is returned for a response whose headers don't end: what is there is no HTTP server, or a broken one.
var ErrHeadTooLong = errors.New("the headers of the response don't end")

// ErrMalformed wraps errors of a response that its peer sent otherwise than HTTP allows, or that doesn't belong to the request: the
// connection itself held.
var ErrMalformed = errors.New("the response is malformed")

// headLimit bounds what is read of a connection while a response's headers are. Without it, a peer that sends bytes
// without end fills the memory until the request's time is over. It also notes whether the connection failed, which tells a lost connection
// from a malformed response.
type headLimit struct {
	r io.Reader
	// left is how much may still be read; negative for without bound.
	left int64
	// failed reports that the connection has ended or failed.
	failed bool
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, ErrHeadTooLong
	}
	if l.left > 0 {
		p = p[:min(int64(len(p)), l.left)]
	}
	n, err := l.r.Read(p)
	if l.left > 0 {
		l.left -= int64(n)
	}
	l.failed = l.failed || err != nil
	return n, err
}

// classify wraps an error of reading a response in ErrMalformed unless the connection has ended or failed.
func (l *headLimit) classify(err error) error {
	if l.failed {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// begin bounds what is read from now on, end ends that.
func (l *headLimit) begin() { l.left = MaxHeadBytes }
func (l *headLimit) end()   { l.left = -1 }
