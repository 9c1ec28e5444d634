package httpwire

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
)

// ErrNotSent wraps errors after which the peer has certainly received nothing of the request.
var ErrNotSent = errors.New("the request was not sent")

// ErrUnmatchedResponses is returned if all responses were to other requests.
var ErrUnmatchedResponses = errors.New("the connection carried only responses to other requests")

// Request is an HTTP request.
type Request struct {
	Method string
	// Target is the request target as it appears in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Check is called with the connection on which the request will be sent, and may exchange other requests
	// over it; its error ends the exchange before anything of this request is sent. It may be nil.
	Check func(ctx context.Context, c *Conn) error
	// MayUse reports whether the request may be sent on an idle connection; nil if on any.
	MayUse func(net.Conn) bool
	// BeforeWrite is called once there is a connection; its error ends the exchange before anything is
	// sent. It may be nil.
	BeforeWrite func() error
	// Matches reports from a response's status and headers whether it answers this request; nil accepts
	// any.
	Matches func(status int, h http.Header) bool
}

// checkWanted returns an error if the caller gave up while a connection was opened.
func (r *Request) checkWanted(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if r.BeforeWrite != nil {
		return r.BeforeWrite()
	}
	return nil
}

// encode returns the request in wire format.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
