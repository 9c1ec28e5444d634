package reach

import (
	"context"
	"time"
)

// awaitInterval is how often waiting requests look whether an upstream is back.
const awaitInterval = 20 * time.Millisecond

// Await waits until one of the upstreams at these addresses, none of which was reached, can be reached
// again. It returns false once that has lasted for longer than a sound upstream may be silent, at once if
// it already has, or when ctx ends.
func (d *Dialer) Await(ctx context.Context, addresses []string) bool {
	d.metrics.awaited.Add(1)
	back := d.await(ctx, addresses)
	if !back {
		d.metrics.awaitedInVain.Add(1)
	}
	return back
}

func (d *Dialer) await(ctx context.Context, addresses []string) bool {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for {
		hope := false
		for _, address := range addresses {
			p := d.path(address)
			if p.currentMode() != Unreachable {
				return true
			}
			hope = hope || p.changedWithin(d.settings.SilenceTolerance, d.now())
		}
		if !hope {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}
