package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

const (
	// defaultKeepAlive is how long an idle connection is kept if the peer sends no timeout.
	defaultKeepAlive = 4 * time.Second
	// maxKeepAlive bounds what a peer may ask for, so that a mistaken value doesn't keep connections for good.
	maxKeepAlive = 10 * time.Minute
	// keepAliveMargin is how long before its peer closes it a connection is given up, so that no
	// request races with the close. It covers a round trip between regions and a late timer.
	keepAliveMargin = 400 * time.Millisecond
	// maxIdlePerPeer bounds the idle connections to one peer.
	maxIdlePerPeer = 64
)

// Options configure a Client.
type Options struct {
	Clock bootclock.Clock
	// Dial opens connections; if it is nil, they are opened over TCP within DialTimeout.
	Dial tcpconn.DialFunc
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// OnDial, if not nil, is called before each dial.
	OnDial func()
}

// Client sends requests over pooled connections. It is safe for concurrent use.
type Client struct {
	options Options

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a Client without connections.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		options.Dial = tcpconn.Dialer(tcpconn.ServerLimits)
	}
	return &Client{options: options, idle: make(map[string][]*conn)}
}

// dial opens a connection within the time limit.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	return c.options.Dial(ctx, address)
}

// acquire returns the most recently used idle connection that the request may use, or a new one.
func (c *Client) acquire(ctx context.Context, address string, newConn bool, mayUse func(net.Conn) bool) (*conn, error) {
	for !newConn {
		idle := c.popIdle(address, mayUse)
		if idle == nil {
			break
		}
		if c.options.Clock.Now() < idle.idleSince+idle.reusableFor && idle.reusable() {
			return idle, nil
		}
		_ = idle.Close() // no exchange is in progress on it
	}
	if c.options.OnDial != nil {
		c.options.OnDial()
	}
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	head := &headLimit{r: dialed, left: -1}
	return &conn{Conn: dialed, r: bufio.NewReaderSize(head, readBufferSize), head: head}, nil
}

func (c *Client) popIdle(address string, mayUse func(net.Conn) bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		if found := conns[i]; mayUse == nil || mayUse(found.Conn) {
			c.idle[address] = slices.Delete(conns, i, i+1)
			return found
		}
	}
	return nil
}

// release returns a connection to the pool.
func (c *Client) release(address string, cn *conn, keepAlive time.Duration) {
	cn.idleSince = c.options.Clock.Now()
	cn.reusableFor = keepAlive - keepAliveMargin
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn.reusableFor <= 0 || len(c.idle[address]) >= maxIdlePerPeer {
		_ = cn.Close() // no exchange is in progress on it
		return
	}
	c.idle[address] = append(c.idle[address], cn)
}

// CloseIdle closes the idle connections to a peer that is gone.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		_ = cn.Close() // no exchange is in progress on it
	}
	delete(c.idle, address)
}

// Sweep closes the idle connections that have expired or that won't be reused, so that no node that
// relays one waits for its end.
func (c *Client) Sweep() {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, cn := range conns {
			if now < cn.idleSince+cn.reusableFor && cn.current() {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close() // no exchange is in progress on it
		}
		clear(conns[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}
