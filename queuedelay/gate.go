package queuedelay

import "time"

const (
	// shutDelay is from which delay on no more is taken on. It is less than what callers allow an answer beyond its
	// time-out, since it is waited on the way in and on the way out.
	shutDelay = 200 * time.Millisecond
	// openDelay is below which delay connections are accepted again.
	openDelay = shutDelay / 2
	// maxShut bounds how long connections are refused at a time. If the delay isn't down by then, something else than
	// what callers send is its cause.
	maxShut = 3 * time.Second
)

// Gate decides when a node accepts new connections. While what callers send queues on the link, a connection that is
// refused costs two packets; a request that is refused has already taken its place in the queue.
type Gate struct {
	isShut bool
	// shutAt is when connections were refused last.
	shutAt time.Duration
	// inVain is set if the delay wasn't down after maxShut. The gate then stays open until it is.
	inVain bool
}

// Update decides by the delay of exchanges with other nodes and by how much of the link's speed is used, and returns whether
// connections are to be refused. A delay alone may be the path's or the neighbours'.
func (g *Gate) Update(now, delay time.Duration, use float64) (isShut bool) {
	switch {
	case delay < openDelay:
		g.isShut, g.inVain = false, false
	case g.isShut && now-g.shutAt >= maxShut:
		g.isShut, g.inVain = false, true
	case !g.isShut && !g.inVain && delay >= shutDelay && use >= busyUse:
		g.isShut, g.shutAt = true, now
	}
	return g.isShut
}
