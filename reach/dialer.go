package reach

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrUnreachable is returned at once for an upstream that no node reached just before.
var ErrUnreachable = errors.New("no node reaches the upstream")

// ErrIsolated is returned beside the error of an attempt that timed out while no other node answered either:
// the fault is most likely this node's own, such as a full link, and further attempts would add to it.
var ErrIsolated = errors.New("no other node answers either")

// Dialer opens connections to upstreams. It is safe for concurrent use.
type Dialer struct {
	settings Settings
	deps     Deps
	location Location
	node     atomic.Pointer[nodeRef]
	metrics  Metrics

	paths sync.Map // address -> *path
	lost  lostState
	tests testBudget
	// peersSilentUntil is until when other nodes aren't asked, since none answered.
	peersSilentUntil atomic.Int64
	connects         connectTimes
	// explorations counts the attempts through other nodes for paths that aren't known to be cut.
	explorations atomic.Int64

	mu sync.Mutex
	// avoided holds until when peers that couldn't help are asked after the others.
	avoided map[string]time.Duration
}

// nodeRef makes a Node storable in an atomic pointer.
type nodeRef struct{ Node }

// NewDialer returns a dialer that knows no other nodes until Run is called.
func NewDialer(settings Settings, location Location, deps Deps) *Dialer {
	return &Dialer{settings: settings, deps: deps, location: location, avoided: make(map[string]time.Duration)}
}

// Metrics returns the dialer's counters.
func (d *Dialer) Metrics() *Metrics { return &d.metrics }

func (d *Dialer) now() time.Duration { return d.deps.Clock.Now() }

func (d *Dialer) path(address string) *path {
	if known, ok := d.paths.Load(address); ok {
		return known.(*path)
	}
	known, _ := d.paths.LoadOrStore(address, &path{address: address})
	return known.(*path)
}

// Mode returns how the upstream at an address is reached.
func (d *Dialer) Mode(address string) Mode {
	if known, ok := d.paths.Load(address); ok {
		return known.(*path).currentMode()
	}
	return Direct
}

// Dial opens a connection to the upstream at an address. After an error nothing was sent.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	p, now := d.path(address), d.now()
	p.usedAt.Store(int64(now))
	switch p.currentMode() {
	case Relayed:
		if c, err := d.dialThroughPeers(ctx, p); err == nil {
			return c, nil
		}
	case Unreachable:
		if !p.mayAttempt(now, &d.settings) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrUnreachable}
		}
	}
	return d.dialBothWays(ctx, p)
}

// dialResult is the result of one way to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialBothWays connects directly, and through other nodes if that fails or takes long.
func (d *Dialer) dialBothWays(ctx context.Context, p *path) (net.Conn, error) {
	direct := d.startDirect(ctx, p)
	delay := time.NewTimer(d.connects.relayDelay(&d.settings))
	defer delay.Stop()
	select {
	case r := <-direct:
		if r.err == nil || ctx.Err() != nil {
			return r.conn, r.err
		}
		return d.afterDirectFailed(ctx, p, r.err)
	case <-delay.C:
	}
	relayed := make(chan dialResult, 1)
	go func() {
		c, err := d.explore(ctx, p)
		relayed <- dialResult{c, err}
	}()
	select {
	case r := <-relayed:
		if r.err == nil {
			go d.judgeDirect(p, direct, peerOf(r.conn))
			return r.conn, nil
		}
		direct := <-direct
		if direct.err != nil {
			return nil, d.judgeFailed(ctx, p, direct.err, r.err)
		}
		return direct.conn, nil
	case r := <-direct:
		if r.err == nil {
			go closeLate(relayed)
			return r.conn, nil
		}
		relayed := <-relayed
		if relayed.err != nil {
			return nil, d.judgeFailed(ctx, p, r.err, relayed.err)
		}
		d.recordDirectFailure(p, r.err, peerOf(relayed.conn))
		return relayed.conn, nil
	}
}

// startDirect connects directly in the background, to the end of the attempt's own limit: its
// result says something of the path, also if the caller has found another way.
func (d *Dialer) startDirect(ctx context.Context, p *path) <-chan dialResult {
	results := make(chan dialResult, 1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.DirectTimeout)
	startedAt := d.now()
	go func() {
		defer cancel()
		c, err := d.deps.Dial(ctx, p.address)
		if err == nil {
			d.connects.record(d.now() - startedAt)
			p.recordDirect()
			if p.currentMode() != Direct {
				d.change(p, Direct, "", "")
			}
			c = d.observe(p, c)
		}
		results <- dialResult{c, err}
	}()
	return results
}

// afterDirectFailed connects through other nodes after the direct attempt has failed.
func (d *Dialer) afterDirectFailed(ctx context.Context, p *path, directErr error) (net.Conn, error) {
	c, err := d.explore(ctx, p)
	if err != nil {
		return nil, d.judgeFailed(ctx, p, directErr, err)
	}
	d.recordDirectFailure(p, directErr, peerOf(c))
	return c, nil
}

// judgeFailed returns the error of an attempt that failed both ways. It takes the upstream for unreachable if
// another node said that it has no path either. Otherwise the fault may be this node's own.
func (d *Dialer) judgeFailed(ctx context.Context, p *path, directErr, relayErr error) error {
	switch {
	case hasAllowedRegions(ctx):
		return fmt.Errorf("%w (%w)", directErr, ErrOutsideRegions)
	case errors.Is(relayErr, ErrPeersRefused):
		if ctx.Err() == nil {
			d.change(p, Unreachable, causeOf(directErr), "")
		}
	case causeOf(directErr) == CauseTimeout:
		d.metrics.isolated.Add(1)
		return fmt.Errorf("%w (%w)", directErr, ErrIsolated)
	}
	return directErr
}

// judgeDirect awaits the result of a direct attempt whose caller got a connection through another
// node.
func (d *Dialer) judgeDirect(p *path, direct <-chan dialResult, peer string) {
	r := <-direct
	if r.err != nil {
		d.recordDirectFailure(p, r.err, peer)
		return
	}
	_ = r.conn.Close() // nothing was sent on it
}

// recordDirectFailure records a direct attempt that failed although another node, peer, reached the
// upstream.
func (d *Dialer) recordDirectFailure(p *path, err error, peer string) {
	cause := causeOf(err)
	if cause == CauseTimeout && !p.recordTimeout() {
		return
	}
	d.change(p, Relayed, cause, peer)
}

// closeLate closes a connection that nobody waits for any more.
func closeLate(results <-chan dialResult) {
	if r := <-results; r.err == nil {
		_ = r.conn.Close() // nothing was sent on it
	}
}

// causeOf tells a timeout from a refusal.
func causeOf(err error) Cause {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return CauseTimeout
	}
	return CauseRefused
}

// change sets the mode of a path and tells the observer.
func (d *Dialer) change(p *path, mode Mode, cause Cause, peer string) {
	now, from := d.now(), p.currentMode()
	if !p.set(mode, cause, now) {
		return
	}
	d.reportChange(p, PathChange{Address: p.address, Mode: mode, From: from, Peer: peer, Cause: cause})
}

// reportChange tells the observer of a change and lets more paths be tested: one change is often
// the first of many.
func (d *Dialer) reportChange(p *path, c PathChange) {
	d.tests.allow(d.settings.TestsPerChange)
	if c.Mode == Relayed {
		d.doubtOthers(p)
	}
	d.metrics.countChange(c.Mode)
	if node := d.node.Load(); node != nil {
		node.PathChanged(c)
	}
}

// doubtOthers stops the reuse of idle connections over paths from which nothing was heard for a
// while, after one path was found cut: others are likely to be, and a request on a dead connection
// would wait for its end.
func (d *Dialer) doubtOthers(cut *path) {
	now := d.now()
	d.paths.Range(func(_, value any) bool {
		p := value.(*path)
		if p != cut && p.currentMode() == Direct && now-time.Duration(p.receivedAt.Load()) > d.settings.SilenceLimit/2 {
			p.epoch.Add(1)
		}
		return true
	})
}
