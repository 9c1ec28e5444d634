package budget

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// spendRight is until when an incarnation may spend. It is safe for concurrent use.
//
// The right is measured on the monotonic and on the wall clock, and the shorter
// one counts. The monotonic clock of a suspended machine may stand still: counting
// on it alone, a machine woken after hours would go on spending shares that the
// fleet has long given to others. The wall clock alone can be set back.
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
	raise(&r.monotonic, int64(until.Sub(r.start)))
	raise(&r.wall, int64(until.Round(0).Sub(r.startWall)))
}

func raise(held *atomic.Int64, to int64) {
	for {
		now := held.Load()
		if to <= now || held.CompareAndSwap(now, to) {
			return
		}
	}
}

// left returns how long the right lasts; not positive once it has lapsed.
func (r *spendRight) left() time.Duration {
	if r.revoked.Load() {
		return 0
	}
	monotonic := time.Duration(r.monotonic.Load()) - r.clock.Since(r.start)
	wall := time.Duration(r.wall.Load()) - r.clock.Now().Round(0).Sub(r.startWall)
	return min(monotonic, wall)
}

// revoke ends the right for good. A heartbeat verdict that arrives later must not
// bring it back, hence the flag.
func (r *spendRight) revoke() { r.revoked.Store(true) }
