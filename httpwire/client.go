package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// defaultKeep is how long a connection is kept whose peer doesn't say.
	defaultKeep = 4 * time.Second
	// keepMargin is by how much a connection is given up before its peer closes it, so
	// that no request crosses the close: a round trip between regions and a late timer.
	keepMargin = 400 * time.Millisecond
	// maxIdlePerPeer bounds the connections kept to one peer.
	maxIdlePerPeer = 64
)

// Options set a client up.
type Options struct {
	Clock bootclock.Clock
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// OnDial is called for each connection made; nil does nothing.
	OnDial func()
}

// Client keeps connections to its peers. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{options: options, idle: make(map[string][]*conn),
		dialer: net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1}}
}

// acquire returns a kept connection, the one used last first, or a new one.
func (c *Client) acquire(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		kept := c.pop(address)
		if kept == nil {
			break
		}
		if c.options.Clock.Now() < kept.idleSince+kept.keepFor && kept.quiet() {
			return kept, nil
		}
		_ = kept.Close() // nothing is open on it
	}
	if c.options.OnDial != nil {
		c.options.OnDial()
	}
	dialed, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &conn{Conn: dialed, r: bufio.NewReaderSize(dialed, readBuffer)}, nil
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return last
}

// release keeps a connection for the next exchange.
func (c *Client) release(address string, cn *conn, keep time.Duration) {
	cn.idleSince = c.options.Clock.Now()
	cn.keepFor = keep - keepMargin
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn.keepFor <= 0 || len(c.idle[address]) >= maxIdlePerPeer {
		_ = cn.Close() // nothing is open on it
		return
	}
	c.idle[address] = append(c.idle[address], cn)
}

// CloseIdle closes the kept connections to a peer that is gone.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		_ = cn.Close() // nothing is open on it
	}
	delete(c.idle, address)
}

// Sweep closes the kept connections whose time is over.
func (c *Client) Sweep() {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now < cn.idleSince+cn.keepFor {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close() // nothing is open on it
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}
