package standin

import (
	"context"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
)

// Leaving makes an upstream say in each answer that it is leaving, while it is switched on. The
// upstream serves all requests regardless.
type Leaving struct {
	on        atomic.Bool
	announced atomic.Int64
}

// Announce switches the announcement on or off.
func (l *Leaving) Announce(on bool) { l.on.Store(on) }

// Announced returns how many answers said that the upstream is leaving.
func (l *Leaving) Announced() int64 { return l.announced.Load() }

func (l *Leaving) handle(ctx context.Context, c *app.RequestContext) {
	if l.on.Load() {
		c.Header("X-Upstream-Leaving", "true")
		defer l.announced.Add(1)
	}
	c.Next(ctx)
}
