package fake

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// ErrDead is what a killed node's calls answer; nothing of it is seen by anybody.
var ErrDead = errors.New("the node is dead")

// Gate stands before everything that one node does to the outside. A paused node
// is stopped at its next step; a dead one never takes another.
type Gate struct {
	mu     sync.Mutex
	resume chan struct{}
	dead   chan struct{}
	killed bool
}

// NewGate returns the gate of a running node.
func NewGate() *Gate { return &Gate{dead: make(chan struct{})} }

// Enter passes while the node runs. It holds a paused node even after ctx ended,
// as a stopped process doesn't notice its deadlines either.
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

// Pause stops the node at its next step until Resume.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resume == nil {
		g.resume = make(chan struct{})
	}
}

// Resume lets a paused node go on.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resume != nil {
		close(g.resume)
		g.resume = nil
	}
}

// Kill ends the node abruptly.
func (g *Gate) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.killed {
		g.killed = true
		close(g.dead)
	}
}

// Dead is closed once the node was killed.
func (g *Gate) Dead() <-chan struct{} { return g.dead }

// Paused tells whether the node is stopped now.
func (g *Gate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resume != nil && !g.killed
}
