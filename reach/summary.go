package reach

import (
	"sync/atomic"
	"time"
)

// Summary counts the paths in use by their mode.
type Summary struct {
	Direct      int `json:"direct"`
	Relayed     int `json:"relayed"`
	Unreachable int `json:"unreachable"`
}

// Summary returns the current counts.
func (d *Dialer) Summary() Summary {
	var s Summary
	d.paths.Range(func(_, value any) bool {
		s.add(value.(*path).currentMode())
		return true
	})
	return s
}

func (s *Summary) add(mode Mode) {
	switch mode {
	case Direct:
		s.Direct++
	case Relayed:
		s.Relayed++
	case Unreachable:
		s.Unreachable++
	}
}

// mostLost reports whether the node has to reach at least as many upstreams through others as it
// reaches itself.
func (s Summary) mostLost() bool { return s.Relayed > 0 && s.Relayed >= s.Direct }

// lostState tells whether most paths are lost.
type lostState struct {
	lost atomic.Bool
	// lostAt is when most paths were last found lost; only the checks use it.
	lostAt time.Duration
}

// PathsLost reports whether this node has lost most of its own paths, while other nodes have theirs.
func (d *Dialer) PathsLost() bool { return d.lost.lost.Load() }

// checkLost updates whether most paths are lost. They must be back for some time to count as back.
func (d *Dialer) checkLost(node Node, now time.Duration, s Summary) {
	if s.mostLost() {
		d.lost.lostAt = now
		if !d.lost.lost.Swap(true) {
			node.MostPathsLost(true, s)
		}
		return
	}
	if d.lost.lost.Load() && now-d.lost.lostAt >= d.settings.RestoredAfter {
		d.lost.lost.Store(false)
		node.MostPathsLost(false, s)
	}
}
