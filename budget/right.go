package budget

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// spendRight is the time until which an incarnation may spend. It is safe for concurrent use.
//
// The right is measured on both the monotonic and the wall clock, and the shorter result
// counts. The monotonic clock of a suspended machine may stand still: with that clock alone, a
// machine resumed after hours would keep spending shares that the fleet has since given to
// others. The wall clock alone can be set back.
type spendRight struct {
	clock     clockwork.Clock
	start     time.Time
	startWall time.Time
	monotonic atomic.Int64
	wall      atomic.Int64
	revoked   atomic.Bool
}

func newSpendRight(clock clockwork.Clock) *spendRight {
	now := clock.Now()
	return &spendRight{clock: clock, start: now, startWall: now.Round(0)}
}

func (r *spendRight) extend(until time.Time) {
	storeMax(&r.monotonic, int64(until.Sub(r.start)))
	storeMax(&r.wall, int64(until.Round(0).Sub(r.startWall)))
}

func storeMax(v *atomic.Int64, value int64) {
	for {
		current := v.Load()
		if value <= current || v.CompareAndSwap(current, value) {
			return
		}
	}
}

// remaining returns how long the right lasts; zero or negative once it has lapsed.
func (r *spendRight) remaining() time.Duration {
	if r.revoked.Load() {
		return 0
	}
	monotonic := time.Duration(r.monotonic.Load()) - r.clock.Since(r.start)
	wall := time.Duration(r.wall.Load()) - r.clock.Now().Round(0).Sub(r.startWall)
	return min(monotonic, wall)
}

// revoke ends the right permanently. It sets a flag because a heartbeat verdict that arrives
// later must not restore the right.
func (r *spendRight) revoke() { r.revoked.Store(true) }
