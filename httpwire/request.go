package httpwire

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

// ErrNotSent wraps the errors after which the peer has certainly seen nothing of the
// request.
var ErrNotSent = errors.New("the request was not sent")

// ErrUnmatchedResponses tells that the peer answered other requests only.
var ErrUnmatchedResponses = errors.New("the connection carried answers of other requests")

// Request is what is sent.
type Request struct {
	Method string
	// Target is the request target as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells by an answer's headers whether it answers this request; nil takes any.
	Matches func(http.Header) bool
}

// encode returns the request as it goes over the wire.
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
