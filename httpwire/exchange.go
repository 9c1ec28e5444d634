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
	// Length is the body's length in bytes; negative if the peer doesn't say.
	Length int64
	// Framed tells that the end of the body is marked. The end of an unframed body is
	// the end of the connection, which a reset turns into an error.
	Framed bool

	client  *Client
	address string
	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	written <-chan error
	ended   bool
	closed  bool
}

// Do sends a request once and returns the start of its answer. The connection is closed
// when ctx ends, which stops the peer's work. An error that doesn't wrap ErrNotSent
// leaves open whether the request ran.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	return c.do(ctx, address, r, false)
}

// DoFresh is Do over a new connection.
func (c *Client) DoFresh(ctx context.Context, address string, r *Request) (*Response, error) {
	return c.do(ctx, address, r, true)
}

func (c *Client) do(ctx context.Context, address string, r *Request, fresh bool) (*Response, error) {
	cn, err := c.acquire(ctx, address, fresh)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		// The caller left meanwhile. A request written now would start work for nobody.
		_ = cn.Close() // nothing was sent on it
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	a := &Response{client: c, address: address, conn: cn}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := a.send(r); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.receive(r); err != nil {
		a.Close()
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return a, nil
}

func (a *Response) send(r *Request) error {
	wire := r.encode()
	if len(r.Body) <= inlineBody {
		_, err := a.conn.Write(wire)
		return err
	}
	written := make(chan error, 1)
	a.written = written
	go func() {
		_, err := a.conn.Write(wire)
		written <- err
	}()
	return nil
}

// mostForeign is how many answers of other requests are passed over.
const mostForeign = 2

func (a *Response) receive(r *Request) error {
	for range mostForeign + 1 {
		resp, err := http.ReadResponse(a.conn.r, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			a.take(resp)
			return nil
		}
		if resp.ContentLength < 0 && !chunked(resp) {
			return ErrUnmatchedResponses
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return ErrUnmatchedResponses
}

func (a *Response) take(resp *http.Response) {
	a.Status, a.Header, a.Length, a.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	a.Framed = resp.ContentLength >= 0 || chunked(resp)
	if resp.Close {
		a.Header.Set("Connection", "close")
	}
}

func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[len(resp.TransferEncoding)-1] == "chunked"
}

// Read reads the body. io.EOF means that it is whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Buffered returns how many bytes can be read without waiting, at least.
func (a *Response) Buffered() int { return a.conn.r.Buffered() }

// Close ends the exchange. The connection is kept if the answer was read to its end and
// nothing speaks against it; otherwise it is closed, which stops the peer's work.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	intact := a.stop()
	if keep := a.keep(); intact && keep > 0 {
		a.client.release(a.address, a.conn, keep)
		return
	}
	_ = a.conn.Close() // the peer may have closed it first
}

// keep returns for how long the connection may be kept.
func (a *Response) keep() time.Duration {
	if !a.ended || !a.Framed || a.conn.r.Buffered() > 0 || strings.EqualFold(a.Header.Get("Connection"), "close") {
		return 0
	}
	if a.written != nil {
		select {
		case err := <-a.written:
			if err != nil {
				return 0
			}
		default:
			return 0
		}
	}
	return keepAlive(a.Header.Get("Keep-Alive"))
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultKeep
}
