package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/repeats"
)

// Deps are what a gateway works with.
type Deps struct {
	Clock     bootclock.Clock
	Catalog   *catalog.Holder
	Directory *directory.Table
	Picker    *placement.Picker
	Share     *prepaid.Share
	Upstreams Upstreams
	Events    *event.Recorder
	Metrics   *Metrics
	// Borrower borrows from other nodes' shares.
	Borrower *lending.Borrower
	// ReportUsage reports the share's use at once and returns when that is acknowledged.
	ReportUsage func(context.Context) error
	// LiveNodes is how many nodes serve now.
	LiveNodes   func() int
	RetryLimits repeats.Limits
	DataCentre  string
	Region      string
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	Deps
	settings Settings

	mu      sync.Mutex
	budgets map[string]*repeats.Budget
}

// New returns a gateway.
func New(settings Settings, deps Deps) *Gateway {
	return &Gateway{Deps: deps, settings: settings, budgets: make(map[string]*repeats.Budget)}
}

// Serve answers one request. It returns when the answer has ended, or when ctx has,
// which the caller's leaving ends.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) {
	c := &call{g: g, r: r, sink: sink}
	if refusal := c.admit(ctx); refusal != nil {
		c.refuse(refusal)
		return
	}
	defer c.settle()
	g.repeats(c.service.Name).RecordRequest()
	ctx, cancel := context.WithTimeout(ctx, c.left())
	defer cancel()
	c.run(ctx)
}

func (g *Gateway) repeats(service string) *repeats.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		b = repeats.NewBudget(g.Deps.RetryLimits, g.Clock)
		g.budgets[service] = b
	}
	return b
}

func draw() float64 { return rand.Float64() }

// since returns the time since a reading of the boot clock.
func (g *Gateway) since(at time.Duration) time.Duration { return g.Clock.Now() - at }
