package reach

import (
	"context"
	"errors"
	"slices"
	"time"
)

// checkInterval is how often paths are checked.
const checkInterval = 100 * time.Millisecond

// Run checks the paths until ctx ends: it tests those that became silent and those that may be back.
func (d *Dialer) Run(ctx context.Context, node Node) {
	d.node.Store(&nodeRef{node})
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.check(ctx, node)
		}
	}
}

func (d *Dialer) check(ctx context.Context, node Node) {
	now := d.now()
	d.tests.refill(now, &d.settings)
	var s Summary
	d.paths.Range(func(key, value any) bool {
		p := value.(*path)
		if d.unused(p, now) {
			p.epoch.Add(1)
			d.paths.Delete(key)
			return true
		}
		s.add(p.currentMode())
		if d.needsTest(p, now) {
			d.startTest(ctx, p, now)
		}
		return true
	})
	d.checkLost(node, now, s)
}

// unused reports whether what is known of a path is too old to be kept. One that isn't direct is then
// tried anew when it is needed.
func (d *Dialer) unused(p *path, now time.Duration) bool {
	limit := d.settings.UnusedAfter
	if p.currentMode() != Direct {
		limit = d.settings.TestedFor
	}
	return since(now, p.usedAt.Load()) > limit && p.waiting.Load() == 0
}

// serves reports whether a node may go on relaying.
func (d *Dialer) serves(name string) bool {
	node := d.node.Load()
	return node == nil || slices.ContainsFunc(node.Peers(), func(p Peer) bool { return p.Name == name })
}

// needsTest reports whether a path should be tested: data is awaited in vain, or the node's own path
// may be back.
func (d *Dialer) needsTest(p *path, now time.Duration) bool {
	return p.currentMode() != Direct || p.silence(now) >= d.settings.SilenceLimit
}

// startTest tests a path in the background unless it was tested just before or too many tests ran.
func (d *Dialer) startTest(ctx context.Context, p *path, now time.Duration) {
	interval := d.settings.TestInterval
	if p.currentMode() == Unreachable && p.changedWithin(d.settings.SilenceTolerance, now) {
		interval = d.settings.EarlyTestInterval
	}
	if !p.beginTest(now, interval, d.tests.take) {
		return
	}
	go func() {
		defer p.endTest()
		d.test(ctx, p)
	}()
}

// test connects to an upstream directly, without sending anything.
func (d *Dialer) test(ctx context.Context, p *path) {
	d.metrics.tests.Add(1)
	testCtx, cancel := context.WithTimeout(ctx, d.settings.TestTimeout)
	defer cancel()
	c, err := d.deps.Dial(testCtx, p.address)
	if err == nil {
		_ = c.Close() // nothing was sent on it
		d.change(p, Direct, "", "")
		return
	}
	if ctx.Err() != nil || p.currentMode() != Direct {
		return
	}
	d.judgeSilent(ctx, p, causeOf(err))
}

// judgeSilent decides whether a path is cut or its upstream failed, after data was awaited in vain
// and a test failed.
func (d *Dialer) judgeSilent(ctx context.Context, p *path, cause Cause) {
	c, err := d.dialThroughPeers(ctx, p)
	if errors.Is(err, ErrPeersRefused) {
		d.change(p, Unreachable, cause, "")
	}
	if err != nil {
		return
	}
	_ = c.Close() // nothing was sent on it
	d.change(p, Relayed, cause, peerOf(c))
}
