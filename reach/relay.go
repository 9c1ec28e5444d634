package reach

import (
	"context"
	"errors"
	"net"
	"sync"
)

// The reasons for which a node opens no connection for another one.
var (
	// ErrNotUpstream is returned for an address that belongs to no upstream that this node knows.
	ErrNotUpstream = errors.New("the address belongs to no upstream")
	// ErrLeaving is returned while the node shuts down.
	ErrLeaving = errors.New("the node is leaving")
	// ErrTooManyRelayed is returned while the node relays as many connections as it may.
	ErrTooManyRelayed = errors.New("the node relays too many connections")
	// ErrNoPath is returned if the node has no path of its own.
	ErrNoPath = errors.New("the node has no path to the upstream either")
)

// OpenFor opens a direct connection for another node. It never asks further nodes.
func (d *Dialer) OpenFor(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.openFor(ctx, address)
	if err != nil {
		d.metrics.refusedOpens.Add(1)
		return nil, err
	}
	d.metrics.opened.Add(1)
	return c, nil
}

func (d *Dialer) openFor(ctx context.Context, address string) (net.Conn, error) {
	node := d.node.Load()
	switch {
	case node == nil || !node.IsUpstream(address):
		return nil, ErrNotUpstream
	case node.Leaving():
		return nil, ErrLeaving
	}
	p := d.path(address)
	p.usedAt.Store(int64(d.now()))
	if p.currentMode() != Direct || p.openFailedWithin(d.settings.MinUnreachable, d.now()) {
		return nil, ErrNoPath
	}
	if d.metrics.openNow.Add(1) > d.settings.MaxRelayed {
		d.metrics.openNow.Add(-1)
		return nil, ErrTooManyRelayed
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.OpenTimeout)
	defer cancel()
	c, err := d.deps.Dial(ctx, address)
	if err != nil {
		d.metrics.openNow.Add(-1)
		p.recordOpenFailure(d.now())
		return nil, errors.Join(ErrNoPath, err)
	}
	return &countedConn{Conn: c, closed: sync.OnceFunc(func() { d.metrics.openNow.Add(-1) })}, nil
}

// countedConn calls closed once when it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// RelayIdle reports whether no connection is open for another node.
func (d *Dialer) RelayIdle() bool { return d.metrics.openNow.Load() == 0 }

// Abort closes a connection so that its peer sees a reset, and drops unsent data.
func Abort(c net.Conn) {
	if counted, ok := c.(*countedConn); ok {
		setLinger0(counted.Conn)
	}
	setLinger0(c)
	_ = c.Close() // it is given up
}

func setLinger0(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0) // an orderly close is still better than none
	}
}
