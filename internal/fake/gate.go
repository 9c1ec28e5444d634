package fake

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// ErrDead is the error of a killed node's calls; nothing outside the node observes it.
var ErrDead = errors.New("the node is dead")

// Gate guards every external operation of one node. A paused node blocks at its next
// step; a killed one never takes another.
type Gate struct {
	mu     sync.Mutex
	resume chan struct{}
	dead   chan struct{}
	killed bool
}

// NewGate returns the gate of a running node.
func NewGate() *Gate { return &Gate{dead: make(chan struct{})} }

// Enter returns while the node runs and blocks while it is paused, even after ctx ended:
// a stopped process doesn't notice its deadlines either.
func (g *Gate) Enter(ctx context.Context) error {
	for {
		g.mu.Lock()
		resume, killed := g.resume, g.killed
		g.mu.Unlock()
		switch {
		case killed:
			return errors.Trace(ErrDead)
		case resume == nil:
			return errors.Trace(ctx.Err())
		}
		select {
		case <-resume:
		case <-g.dead:
		}
	}
}

// Pause blocks the node at its next step until Resume.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resume == nil {
		g.resume = make(chan struct{})
	}
}

// Resume lets a paused node continue.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resume != nil {
		close(g.resume)
		g.resume = nil
	}
}

// Kill stops the node abruptly and for good.
func (g *Gate) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.killed {
		g.killed = true
		close(g.dead)
	}
}

// Dead returns a channel that is closed when the node is killed.
func (g *Gate) Dead() <-chan struct{} { return g.dead }

// Paused reports whether the node is paused now.
func (g *Gate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resume != nil && !g.killed
}
