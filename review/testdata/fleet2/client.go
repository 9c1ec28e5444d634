package fleet2

import (
	"bufio"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request is a client's request.
type Request struct {
	ID, Path, Key, TokenCount string
	// Body is a body of the request's own if it is empty. Accept is the media type that the client asks for; none if it is empty.
	Body, Accept string
	Deadline     time.Duration
}

// Answer is what the client got.
type Answer struct {
	Status int
	// Events are the data of the events of a stream.
	Events   []string
	Body     string
	Complete bool
	Err      error
}

// NewID returns the ID of a client attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Client sends requests over connections that it keeps.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client { return NewClientOver(nil) }

// NewClientOver returns a client whose requests cross a link; nil stands for one without a limit.
func NewClientOver(l *Link) *Client {
	dial := (&net.Dialer{Timeout: time.Second}).DialContext
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil || l == nil {
				return c, err
			}
			return &linkConn{c, l}, nil
		}}}}
}

// Link is a node's link. All that clients send over it shares its bandwidth.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when all that was sent so far has crossed it.
	free time.Time
}

// NewLink returns a link.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * 1e6 / 8} }

// wait waits until a number of bytes has crossed the link.
func (l *Link) wait(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	left := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(left)
}

// linkConn is a client's connection over a link.
type linkConn struct {
	net.Conn
	link *Link
}

// linkChunk is how many bytes a connection sends at a time.
const linkChunk = 16 << 10

// Write sends what crosses the link in turn with the other connections.
func (c *linkConn) Write(p []byte) (sent int, err error) {
	for sent < len(p) {
		chunk := p[sent:min(len(p), sent+linkChunk)]
		c.link.wait(len(chunk))
		n, err := c.Conn.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Send sends a request to a node and reads the answer to its end.
func (c *Client) Send(address string, r Request) (a Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, strings.NewReader(cmp.Or(r.Body, "prompt of "+r.ID)))
	if err != nil {
		return Answer{Err: err}
	}
	req.GetBody = nil // the library must not send it again
	req.Host = Host
	for name, value := range map[string]string{wire.AttemptID: r.ID, "Authorization": "Bearer " + r.Key, "Deadline-Ms": fmt.Sprint(r.Deadline.Milliseconds())} {
		req.Header.Set(name, value)
	}
	if r.Accept != "" {
		req.Header.Set("Accept", r.Accept)
	}
	if r.TokenCount != "" {
		prompt, _, _ := strings.Cut(r.TokenCount, ",")
		req.Header.Set("Model", "m")
		req.Header.Set(wire.TokenCount, r.TokenCount)
		req.Header.Set(wire.PrefixHash, r.ID+":"+prompt)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status = resp.StatusCode
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(resp.Body)
		a.Body, a.Err, a.Complete = string(body), err, err == nil
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	data := ""
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "data: "):
			data = strings.TrimPrefix(line, "data: ")
		case line == "" && data != "":
			a.Events = append(a.Events, data)
			data = ""
		}
	}
	a.Err = lines.Err()
	a.Complete = a.Err == nil
	return a
}
