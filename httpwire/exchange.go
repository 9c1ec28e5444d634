package httpwire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is a response whose body is still being read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; negative if the peer doesn't state it.
	Length int64
	// Framed is true if the end of the body is marked. An unframed body ends with the
	// connection; a reset of the connection is returned as an error.
	Framed bool

	client     *Client
	address    string
	conn       *conn
	body       io.ReadCloser
	unregister func() bool
	writeDone  <-chan error
	complete   bool
	closed     bool
	// ends is set if the peer closes the connection behind the response.
	ends bool
	// afterSurplus is set if a response to another request came before this one: more may follow.
	afterSurplus bool
}

// Do sends a request once and returns its response once the headers have arrived. The connection
// is closed when ctx ends, which stops the peer's work. After an error that doesn't wrap
// ErrNotSent the request may or may not have run.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	return c.do(ctx, address, r, false)
}

// DoFresh is like Do but uses a new connection.
func (c *Client) DoFresh(ctx context.Context, address string, r *Request) (*Response, error) {
	return c.do(ctx, address, r, true)
}

func (c *Client) do(ctx context.Context, address string, r *Request, newConn bool) (*Response, error) {
	cn, err := c.acquireChecked(ctx, address, r, newConn)
	if err != nil {
		return nil, err
	}
	if err := r.checkWanted(ctx); err != nil {
		// A request written now would start work for nobody.
		_ = cn.Close() // nothing was sent on it
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp := &Response{client: c, address: address, conn: cn}
	resp.unregister = context.AfterFunc(ctx, cn.abort)
	if err := resp.send(r); err != nil {
		resp.Close()
		return nil, err
	}
	if err := resp.receive(r); err != nil {
		resp.Close()
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return resp, nil
}

func (resp *Response) send(r *Request) error {
	encoded := r.encode()
	if len(r.Body) <= maxInlineBody {
		_, err := resp.conn.Write(encoded)
		return err
	}
	writeDone := make(chan error, 1)
	resp.writeDone = writeDone
	go func() {
		_, err := resp.conn.Write(encoded)
		writeDone <- err
	}()
	return nil
}

// maxUnmatchedResponses is how many responses to other requests are skipped.
const maxUnmatchedResponses = 2

// maxUnmatchedBytes bounds the body, in bytes, of a response to another request that is skipped.
const maxUnmatchedBytes = 1 << 20

func (resp *Response) receive(r *Request) error {
	for range maxUnmatchedResponses + 1 {
		resp.conn.head.begin()
		httpResp, err := http.ReadResponse(resp.conn.r, &http.Request{Method: r.Method})
		resp.conn.head.end()
		if err != nil {
			return resp.conn.head.classify(err)
		}
		code, _, _ := strings.Cut(httpResp.Status, " ")
		if err := CheckStatus(code); err != nil {
			return resp.conn.head.classify(err)
		}
		if httpResp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(httpResp.StatusCode, httpResp.Header) {
			resp.setResponse(httpResp)
			return nil
		}
		resp.afterSurplus = true
		if httpResp.ContentLength < 0 && !isChunked(httpResp) {
			return resp.conn.head.classify(ErrUnmatchedResponses)
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxUnmatchedBytes)); err != nil || n == maxUnmatchedBytes {
			return resp.conn.head.classify(errors.Join(ErrUnmatchedResponses, err))
		}
	}
	return resp.conn.head.classify(ErrUnmatchedResponses)
}

func (resp *Response) setResponse(httpResp *http.Response) {
	resp.Status, resp.Header, resp.Length, resp.body = httpResp.StatusCode, httpResp.Header, httpResp.ContentLength, httpResp.Body
	resp.Framed = httpResp.ContentLength >= 0 || isChunked(httpResp)
	resp.ends = httpResp.Close
}

func isChunked(httpResp *http.Response) bool {
	return len(httpResp.TransferEncoding) > 0 && httpResp.TransferEncoding[len(httpResp.TransferEncoding)-1] == "chunked"
}

// Read reads the body. io.EOF means that it is complete.
func (resp *Response) Read(p []byte) (int, error) {
	n, err := resp.body.Read(p)
	switch {
	case err == io.EOF:
		resp.complete = true
	case err != nil:
		err = resp.conn.head.classify(err)
	}
	return n, err
}

// Buffered returns the minimum number of bytes that can be read without blocking.
func (resp *Response) Buffered() int { return resp.conn.r.Buffered() }

// Close ends the exchange. The connection is pooled if the response was read to its end and the
// connection is reusable; otherwise it is closed, which stops the peer's work.
func (resp *Response) Close() {
	if resp.closed {
		return
	}
	resp.closed = true
	contextActive := resp.unregister()
	if keepAlive := resp.keepAliveTime(); contextActive && keepAlive > 0 {
		resp.client.release(resp.address, resp.conn, keepAlive)
		return
	}
	resp.conn.abort()
}

// Abort ends the exchange and closes the connection, also if the response was read to its end.
func (resp *Response) Abort() {
	if resp.closed {
		return
	}
	resp.closed = true
	resp.unregister()
	resp.conn.abort()
}

// keepAliveTime returns how long the connection may be pooled; zero if it may not.
func (resp *Response) keepAliveTime() time.Duration {
	if !resp.complete || !resp.Framed || resp.afterSurplus || resp.conn.r.Buffered() > 0 || resp.ends {
		return 0
	}
	if resp.writeDone != nil {
		select {
		case err := <-resp.writeDone:
			if err != nil {
				return 0
			}
		default:
			return 0
		}
	}
	return parseKeepAlive(resp.Header.Get("Keep-Alive"))
}

// parseKeepAlive returns the timeout of a Keep-Alive header, at most maxKeepAlive, or defaultKeepAlive.
func parseKeepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(min(seconds, int(maxKeepAlive.Seconds()))) * time.Second
		}
	}
	return defaultKeepAlive
}
