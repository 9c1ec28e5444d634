package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"

	"lavenderpin.dev/lavenderpin/httpwire"
)

// readSize is how much of an unframed body is read at a time, in bytes.
const readSize = 4 << 10

// responsePhase says what a responseConn reads next.
type responsePhase int

const (
	// inBody passes on what is received.
	inBody responsePhase = iota
	// inHead collects the headers of a response.
	inHead
	// inUnframed passes on a body with neither a length nor chunks as chunks.
	inUnframed
	ended
)

// responseConn bounds the headers of responses, and puts the chunks into bodies that have neither a length nor chunks and end
// with their connection. The HTTP library would hold such a body in memory until its end, which a stream may reach late and
// an upstream in trouble never.
type responseConn struct {
	net.Conn
	phase responsePhase
	// headOnly is set if the response has no body, as one to HEAD.
	headOnly bool
	head     []byte
	// out is what was made of bytes received and not read yet.
	out []byte
}

// expectResponse tells that a request is sent: what is received next is the head of a response. One to HEAD has no body.
func (c *responseConn) expectResponse(request []byte) {
	c.phase, c.head, c.out = inHead, nil, nil
	c.headOnly = bytes.HasPrefix(request, []byte("HEAD "))
}

// Read implements net.Conn.
func (c *responseConn) Read(p []byte) (int, error) {
	for len(c.out) == 0 {
		switch c.phase {
		case inBody:
			return c.Conn.Read(p)
		case ended:
			return 0, io.EOF
		case inHead:
			if err := c.readHead(); err != nil {
				return 0, err
			}
		case inUnframed:
			if err := c.readUnframed(); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, c.out)
	c.out = c.out[n:]
	return n, nil
}

// Reusable reports whether the connection may carry a further request.
func (c *responseConn) Reusable() bool {
	dialed, ok := c.Conn.(interface{ Reusable() bool })
	return !ok || dialed.Reusable()
}

var headEnd = []byte("\r\n\r\n")

// readHead reads on until the headers have ended.
func (c *responseConn) readHead() error {
	var err error
	end := bytes.Index(c.head, headEnd) // one may have come with an informational response
	if end < 0 {
		buffer, n := make([]byte, readSize), 0
		n, err = c.Conn.Read(buffer)
		c.head = append(c.head, buffer[:n]...)
		end = bytes.Index(c.head, headEnd)
	}
	switch {
	case end < 0 && len(c.head) > httpwire.MaxHeadBytes:
		return httpwire.ErrHeadTooLong
	case end < 0:
		return err
	}
	return c.handleHead(c.head[:end+len(headEnd)], c.head[end+len(headEnd):]) // an error of the connection comes again
}

// handleHead checks the status of a response, and decides by its headers how its body is framed.
func (c *responseConn) handleHead(head, rest []byte) error {
	c.head = nil
	if err := httpwire.CheckStatus(statusCode(head)); err != nil {
		return err
	}
	if bytes.HasPrefix(head, []byte("HTTP/1.1 1")) { // informational; the response follows
		c.out, c.head = head, rest
		return nil
	}
	lower := bytes.ToLower(head)
	if bytes.Contains(lower, []byte("\r\ncontent-length:")) || bytes.Contains(lower, []byte("\r\ntransfer-encoding:")) || c.headOnly || hasNoBody(head) {
		c.phase, c.out = inBody, append(head, rest...)
		return nil
	}
	status, headers, _ := bytes.Cut(head, []byte("\r\n"))
	c.phase = inUnframed
	c.out = fmt.Appendf(nil, "%s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n%s", status, headers)
	c.addChunk(rest)
	return nil
}

// statusCode returns the status code of a response as its status line holds it.
func statusCode(head []byte) string {
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	return string(code)
}

// hasNoBody reports whether a response has no body by its status.
func hasNoBody(head []byte) bool {
	code := statusCode(head)
	return code == "204" || code == "304"
}

// readUnframed reads a piece of an unframed body. Its end is that of the connection; a reset is an error.
func (c *responseConn) readUnframed() error {
	buffer := make([]byte, readSize)
	n, err := c.Conn.Read(buffer)
	c.addChunk(buffer[:n])
	if err == io.EOF {
		c.phase = ended
		c.out = append(c.out, "0\r\n\r\n"...)
		return nil
	}
	return err
}

func (c *responseConn) addChunk(data []byte) {
	if len(data) > 0 {
		c.out = fmt.Appendf(c.out, "%x\r\n%s\r\n", len(data), data)
	}
}
