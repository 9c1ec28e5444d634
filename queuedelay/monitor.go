package queuedelay

import (
	"context"
	"expvar"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/latency"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

const (
	// neighbours is how many other nodes are asked. One of them may be short of something itself, so the shorter delay
	// counts.
	neighbours = 2
	// usualInterval is the time between two exchanges with one node; shortInterval is that from beginning to beginning while
	// much of the link is used or the last exchange was late.
	usualInterval = 500 * time.Millisecond
	shortInterval = 100 * time.Millisecond
	// shortestPause is the shortest time between the end of an exchange and the next one.
	shortestPause = 20 * time.Millisecond
	// ExchangeTimeout is when an exchange is given up. What a node takes on is never in a queue for longer.
	ExchangeTimeout = 3 * time.Second
	// lateLimit is from which delay on exchanges are logged and come more often.
	lateLimit = 50 * time.Millisecond
	// busyUse is from which use of the link on exchanges come more often, as a part of its speed; ownUse is from which use on
	// late exchanges are taken for the link's own queue, which is used less while it drains.
	busyUse = 0.5
	ownUse  = busyUse / 2
	// logInterval is the shortest time between two log lines.
	logInterval = time.Second
)

// Exchange sends a short message to the node at an address and returns once it has the answer.
type Exchange func(ctx context.Context, address string) error

// Monitor measures how long exchanges with other nodes wait. It is safe for concurrent use.
type Monitor struct {
	// Clock, Events, Exchange and Nodes must be set before Run.
	Clock    bootclock.Clock
	Events   *event.Recorder
	Exchange Exchange
	// Nodes returns the addresses of the nodes to ask, best first.
	Nodes func() []string
	// IsNeeded reports whether requests come; otherwise no node is asked.
	IsNeeded func() bool
	// Link is the instance's link; nil if its bytes aren't counted.
	Link *Link

	measured expvar.Map
	late     latency.Late
	asked    [neighbours]neighbour
}

// Measured returns the number of exchanges by delay in milliseconds.
func (m *Monitor) Measured() *expvar.Map { return &m.measured }

// Delay returns how long an exchange with another node waits in queues now; zero if that isn't known.
func (m *Monitor) Delay() time.Duration {
	now, shortest, known := m.Clock.Now(), time.Duration(0), false
	for i := range m.asked {
		if d, ok := m.asked[i].delay(now); ok && (!known || d < shortest) {
			shortest, known = d, true
		}
	}
	return shortest
}

// OwnDelay returns how long messages wait in queues of this node, as far as it is certain that these, and not the path or the
// other nodes, are late: zero if little of the link is used, or, where that isn't known, if not all nodes that are asked tell.
func (m *Monitor) OwnDelay() time.Duration {
	if m.Link != nil {
		if m.Link.Use() < ownUse {
			return 0
		}
		return m.Delay()
	}
	now := m.Clock.Now()
	for i := range m.asked {
		if _, known := m.asked[i].delay(now); !known {
			return 0
		}
	}
	return m.Delay()
}

// Run measures until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	m.late = latency.Late{Limit: lateLimit, Interval: logInterval}
	var running sync.WaitGroup
	for i := range m.asked {
		running.Go(func() { m.ask(ctx, i) })
	}
	if m.Link != nil {
		running.Go(func() { m.watchLink(ctx) })
	}
	running.Wait()
}

// ask exchanges messages with one of the nodes, one after the other.
func (m *Monitor) ask(ctx context.Context, i int) {
	for ctx.Err() == nil {
		began := m.Clock.Now()
		if m.isWanted() {
			if nodes := m.Nodes(); i < len(nodes) {
				m.exchange(ctx, &m.asked[i], nodes[i])
			}
		}
		periodic.Sleep(ctx, m.pause(m.Clock.Now()-began))
	}
}

func (m *Monitor) exchange(ctx context.Context, n *neighbour, address string) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	n.begin(address, m.Clock.Now())
	err := m.Exchange(ctx, address)
	now := m.Clock.Now()
	waited := n.end(now, err == nil)
	if err != nil {
		m.measured.Add("failed", 1)
		return
	}
	m.measured.Add(latency.Bucket(waited), 1)
	if count, longest, due := m.late.Add(now, waited); due {
		m.Events.Record(event.ExchangesLate, append([]any{"exchanges", count, "longest_ms", longest.Milliseconds()}, m.linkFields()...)...)
	}
}

// pause returns the time until the next exchange after one that took some time.
func (m *Monitor) pause(took time.Duration) time.Duration {
	if m.isWanted() && m.isBusy() {
		return max(shortestPause, shortInterval-took)
	}
	return usualInterval
}

// isWanted reports whether the delay must be known: requests come, or none may come because the node refuses them by what it
// knew last.
func (m *Monitor) isWanted() bool { return m.IsNeeded() || m.Delay() >= lateLimit }

// isBusy reports whether a queue may be growing.
func (m *Monitor) isBusy() bool {
	return m.Delay() >= lateLimit || m.Link != nil && m.Link.Use() >= busyUse
}

// linkFields returns the use of the link as the fields of an event.
func (m *Monitor) linkFields() []any {
	if m.Link == nil {
		return nil
	}
	in, out := m.Link.BytesPerSecond()
	return []any{"in_kb", int(in / 1000), "out_kb", int(out / 1000), "link_percent", int(100 * m.Link.Use())}
}
