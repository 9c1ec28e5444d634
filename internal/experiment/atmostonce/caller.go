package atmostonce

import (
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// maxTries is how often a caller sends a call, and outageTries how often while the
	// log is out of reach.
	maxTries    = 30
	outageTries = 2
	// pause lies between two tries.
	pause = 50 * time.Millisecond
)

// ending is how a call ended for its caller.
type ending int

const (
	endAnswered ending = iota
	endNotRun
	endUnknown
)

// caller sends one call in one way.
type caller struct {
	world  *world
	way    Strategy
	name   string
	ticket *fleetv1.CallTicket
	// tries is how often the call was sent, limit how often it may be.
	tries, limit int
}

// run sends the call until it has ended for good.
func (c *caller) run() ending {
	lost := false
	for c.tries < c.limit {
		c.tries++
		_, err := c.send(c.world.any())
		switch {
		case err == nil:
			return endAnswered
		case err == errLost && c.way == StrategySendOnce:
			return endUnknown
		case err != errLost && result.From(err).NotRun() && c.tries == c.limit:
			return endNotRun
		case err != errLost && !result.CodeOf(err).Info().Retry:
			return endUnknown
		}
		lost = lost || err == errLost || !result.From(err).NotRun()
		time.Sleep(pause)
	}
	if lost {
		return endUnknown
	}
	return endNotRun
}

func (c *caller) send(n *node) (idempotency.Response, error) {
	return n.attend(func() (idempotency.Response, error) {
		switch c.way {
		case StrategyKey:
			return n.byKey(c.name)
		case StrategyTicket:
			if c.ticket == nil {
				c.ticket = n.runner.NewTicket("account", n.name)
				return n.byTicket(c.ticket, c.name)
			}
			return n.byTicket(c.ticket, c.name)
		}
		return n.run(c.name)(n.ctx)
	})
}
