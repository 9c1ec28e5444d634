package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bodybuffer"
	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/latency"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/linkload"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/repeats"
	"lavenderpin.dev/lavenderpin/throttle"
)

// Deps are the dependencies of a gateway.
type Deps struct {
	Clock     bootclock.Clock
	Catalog   *catalog.Holder
	Directory *directory.Table
	Picker    *placement.Picker
	Share     *prepaid.Share
	Upstreams Upstreams
	Events    *event.Recorder
	Metrics   *Metrics
	// Origins knows where streams began.
	Origins Origins
	// Borrower borrows tokens from other nodes' shares.
	Borrower *lending.Borrower
	// Quarantine tells which requests crash upstreams; it may be nil.
	Quarantine *quarantine.Guard
	// AwaitTokens returns once the node was granted tokens, another node is known that may lend
	// some of the account, or ctx ended.
	AwaitTokens func(ctx context.Context, account string)
	// ReportUsage reports the share's usage immediately and returns once it is acknowledged.
	ReportUsage func(context.Context) error
	// LiveNodes returns the number of nodes that currently serve.
	LiveNodes func() int
	// AwaitReachable waits until one of the upstreams at these addresses, none of which could be reached,
	// can be reached again; it returns false if that isn't to be expected.
	AwaitReachable func(ctx context.Context, addresses []string) bool
	// Lag returns how long what the process could do waits for a processor; nil if that isn't measured.
	Lag func() time.Duration
	// LinkDelay returns how long messages of this node wait on its link; nil if that isn't measured.
	LinkDelay func() time.Duration
	// LinkAdmission refuses requests while the node's link is crowded, LinkState returns what is measured of it; nil if no
	// request is refused for that.
	LinkAdmission *linkload.Admission
	LinkState     func() linkload.Link
	// Senders returns the number of nodes that callers are sent to.
	Senders func() int
	// SendPart returns this node's part of the requests to the upstreams of a data centre.
	SendPart func(dataCentre string) throttle.Part
	// RampStart tells whether an upstream is ramped up when it recovers, and with what; it may be nil.
	RampStart directory.RampPolicy
	// Bodies holds the bodies of responses until it is known whether they are whole; a pool of the default size if nil.
	Bodies      *bodybuffer.Pool
	RetryLimits repeats.Limits
	DataCentre  string
	Region      string
	// Regions maps each data centre to its region.
	Regions map[string]string
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	Deps
	settings Settings
	// drainWindow is set during a graceful shutdown.
	drainWindow atomic.Pointer[drain.Window]
	// durations tracks how long the requests of each route take.
	durations drain.Durations

	// lateReads are the requests that waited long to be read.
	lateReads latency.Late

	// waitingForRoom counts the requests that wait until a brittle upstream has room.
	waitingForRoom atomic.Int64

	mu           sync.Mutex
	retryBudgets map[string]*repeats.Budget
}

// New returns a gateway.
func New(settings Settings, deps Deps) *Gateway {
	if deps.Bodies == nil {
		deps.Bodies = bodybuffer.NewPool(bodybuffer.DefaultBytes)
	}
	return &Gateway{Deps: deps, settings: settings, retryBudgets: make(map[string]*repeats.Budget),
		lateReads: latency.Late{Limit: lateRead, Interval: lateReadsInterval}}
}

// Serve handles one request. It returns when the response has ended or ctx is done; ctx is
// canceled when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) {
	if g.LimitsLink() {
		sink = &countingSink{Sink: sink}
	}
	c := &call{g: g, r: r, sink: sink}
	g.recordUnread(r.Unread)
	if refusal := c.admit(ctx); refusal != nil {
		c.refuse(refusal)
		return
	}
	defer c.settle()
	g.retryBudget(c.service.Name).RecordRequest()
	ctx, cancel := context.WithTimeout(ctx, c.timeLeft())
	defer cancel()
	c.run(ctx)
}

func (g *Gateway) retryBudget(service string) *repeats.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.retryBudgets[service]
	if !ok {
		b = repeats.NewBudget(g.Deps.RetryLimits, g.Clock)
		g.retryBudgets[service] = b
	}
	return b
}

// linkDelay returns how long messages of this node wait on its link; zero if that isn't measured.
func (g *Gateway) linkDelay() time.Duration {
	if g.LinkDelay == nil {
		return 0
	}
	return g.LinkDelay()
}

func random() float64 { return rand.Float64() }

// since returns the time elapsed since a boot clock reading.
func (g *Gateway) since(at time.Duration) time.Duration { return g.Clock.Now() - at }
