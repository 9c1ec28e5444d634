package daemon

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/processlag"
	"lavenderpin.dev/lavenderpin/queuedelay"
)

// delays measure how long requests wait at an incarnation in queues that it doesn't see.
type delays struct {
	processor *processlag.Monitor
	link      *queuedelay.Monitor
}

func newDelays(n *node.Node) *delays {
	clock := bootclock.System{}
	return &delays{
		processor: processlag.NewMonitor(clock, n.Events()),
		link: &queuedelay.Monitor{Clock: clock, Events: n.Events(), Exchange: n.Exchange, Nodes: n.Neighbours,
			IsNeeded: func() bool { return n.Requests().InFlight() > 0 }},
	}
}

// run measures until ctx ends.
func (d *delays) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { d.processor.Run(ctx) })
	running.Go(func() { d.link.Run(ctx) })
	running.Wait()
}

// total returns how long a request waits in all.
func (d *delays) total() time.Duration {
	return queuedelay.ProcessorWait(d.processor.Lag()) + d.link.OwnDelay()
}

// queueDelay returns how long a request waits at the current incarnation.
func (d *Daemon) queueDelay() time.Duration {
	if current := d.delays.Load(); current != nil {
		return current.total()
	}
	return 0
}

// measureDelays measures for an incarnation until the returned function is called.
func (d *Daemon) measureDelays(ctx context.Context, n *node.Node) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	current, done := newDelays(n), make(chan struct{})
	d.delays.Store(current)
	go func() {
		defer close(done)
		current.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
