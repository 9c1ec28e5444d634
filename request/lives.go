package request

import (
	"math/rand/v2"
	"sync"

	"lavenderpin.dev/lavenderpin/quarantine"
)

// lives tells the incarnations of upstreams apart, which say nothing of that themselves: one that answers after it had
// crashed is another one. It is safe for concurrent use.
type lives struct {
	mu sync.Mutex
	// byUpstream holds the upstreams that crashed, by name.
	byUpstream map[string]*life
}

// life is the incarnation of an upstream that crashed last.
type life struct {
	id quarantine.ID
	// over is set until the upstream answers again.
	over bool
}

// crashed returns the incarnation that crashed.
func (l *lives) crashed(upstream string) quarantine.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byUpstream == nil {
		l.byUpstream = make(map[string]*life)
	}
	last := l.byUpstream[upstream]
	if last == nil || !last.over {
		last = &life{id: quarantine.ID(rand.Uint64())}
		l.byUpstream[upstream] = last
	}
	last.over = true
	return last.id
}

// answered records that an upstream answered.
func (l *lives) answered(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.byUpstream[upstream]; last != nil {
		last.over = false
	}
}
