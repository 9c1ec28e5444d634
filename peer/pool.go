package peer

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// dialTimeout bounds an attempt to connect, of which each step is bounded by handshakeTimeout.
const dialTimeout = 2 * handshakeTimeout

// pool holds a connection to each address. An attempt to connect doesn't end with the call that began it: calls
// that wait for less than a handshake takes, on a slow path or a busy machine, would never connect.
type pool[C any] struct {
	dial func(ctx context.Context, address string) (C, error)
	// open reports whether a connection may be used.
	open func(C) bool

	mu       sync.Mutex
	conns    map[string]C
	attempts map[string]*attempt[C]
}

// attempt is an attempt to connect.
type attempt[C any] struct {
	// done is closed once conn and err are set.
	done chan struct{}
	conn C
	err  error
}

func newPool[C any](dial func(context.Context, string) (C, error), open func(C) bool) *pool[C] {
	return &pool[C]{dial: dial, open: open, conns: make(map[string]C), attempts: make(map[string]*attempt[C])}
}

// get returns the connection to an address, or the result of the attempt to connect that is in progress or
// begins now, if that ends before ctx.
func (p *pool[C]) get(ctx context.Context, address string) (conn C, err error) {
	p.mu.Lock()
	if cached, ok := p.conns[address]; ok && p.open(cached) {
		p.mu.Unlock()
		return cached, nil
	}
	a, ok := p.attempts[address]
	if !ok {
		a = &attempt[C]{done: make(chan struct{})}
		p.attempts[address] = a
		go p.connect(address, a)
	}
	p.mu.Unlock()
	select {
	case <-a.done:
		return a.conn, errors.Trace(a.err)
	case <-ctx.Done():
		return conn, errors.Trace(ctx.Err())
	}
}

func (p *pool[C]) connect(address string, a *attempt[C]) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	a.conn, a.err = p.dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, address)
	if a.err == nil {
		p.conns[address] = a.conn
	}
	close(a.done)
}

// remove removes a connection unless another has taken its place, and reports whether it did.
func (p *pool[C]) remove(address string, same func(C) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[address]
	if !ok || !same(conn) {
		return false
	}
	delete(p.conns, address)
	return true
}
