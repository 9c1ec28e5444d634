package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	expireEvery = 50 * time.Millisecond
	// idleEvery is the pause between two looks while nobody waits.
	idleEvery    = time.Second
	observeEvery = 500 * time.Millisecond
)

// Upstreams is what a Controller learns from and tells to the choice of upstreams;
// routing.Balancer is one for a node's region.
type Upstreams interface {
	// Pressure tells what a service's upstreams say of themselves, those of this region
	// and of others.
	Pressure(service string) (here, elsewhere routing.Pressure)
	// LimitLocal is told how many requests should be at those of this region at most.
	LimitLocal(service string, limit int)
}

// Controller admits the requests of one node, service by service. It is safe for
// concurrent use.
type Controller struct {
	clock     clockwork.Clock
	settings  func(service string) Settings
	upstreams Upstreams

	// waits wakes Run when a request begins to wait.
	waits chan struct{}

	mu    sync.Mutex
	cores map[string]*Scheduler
}

// NewController returns a controller; settings is asked for each service
// when it is first needed and again from time to time.
func NewController(clock clockwork.Clock, settings func(service string) Settings, upstreams Upstreams) *Controller {
	return &Controller{clock: clock, settings: settings, upstreams: upstreams,
		waits: make(chan struct{}, 1), cores: map[string]*Scheduler{}}
}

// Admit waits until the request may be sent. release must be called when the request
// has left its upstream; a second call does nothing. The error is Overloaded, or
// CallerGone when ctx ended first; either way nothing was sent.
func (c *Controller) Admit(ctx context.Context, ask routing.Request) (release func(), err error) {
	verdict := make(chan error, 1)
	core, item := c.offer(ask, verdict)
	select {
	case err = <-verdict:
	case <-ctx.Done():
		if c.leave(core, item) {
			return nil, leftWaiting(ctx)
		}
		err = <-verdict
	}
	if err != nil {
		return nil, err
	}
	return func() { c.release(core, item) }, nil
}

// leftWaiting tells a caller that left from one whose deadline passed.
func leftWaiting(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.New(result.Overloaded, "the deadline passed while the request waited").After(leastRetryAfter)
	}
	return result.New(result.CallerGone, "the caller left while its request waited")
}

func (c *Controller) offer(ask routing.Request, verdict chan<- error) (*Scheduler, *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	core := c.cores[ask.Service]
	if core == nil {
		core = NewScheduler(c.settings(ask.Service))
		c.cores[ask.Service] = core
	}
	first := core.Waiting() == 0
	item := core.Submit(c.clock.Now(), ask, func(err error) { verdict <- err })
	if first && core.Waiting() > 0 {
		select {
		case c.waits <- struct{}{}:
		default:
		}
	}
	return core, item
}

// nextExpire returns the pause until the next look for requests that waited too long.
func (c *Controller) nextExpire() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, core := range c.cores {
		if core.Waiting() > 0 {
			return expireEvery
		}
	}
	return idleEvery
}

func (c *Controller) leave(core *Scheduler, i *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return core.Cancel(i)
}

func (c *Controller) release(core *Scheduler, i *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	core.Release(c.clock.Now(), i)
}

// Run refuses those that waited too long and follows the upstreams' own queues, until
// ctx ends. It looks for the former often only while somebody waits.
func (c *Controller) Run(ctx context.Context) {
	observe := c.clock.NewTicker(observeEvery)
	defer observe.Stop()
	expire := c.clock.NewTimer(idleEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.waits:
			expire.Reset(expireEvery)
		case <-expire.Chan():
			c.each(func(_ string, core *Scheduler) { core.Expire(c.clock.Now()) })
			expire.Reset(c.nextExpire())
		case <-observe.Chan():
			c.each(func(service string, core *Scheduler) {
				core.Configure(c.settings(service))
				here, elsewhere := c.upstreams.Pressure(service)
				core.Observe(c.clock.Now(), here, elsewhere)
				c.upstreams.LimitLocal(service, core.LocalLimit())
			})
		}
	}
}

func (c *Controller) each(do func(service string, core *Scheduler)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, core := range c.cores {
		do(service, core)
	}
}

// Status is what operators see of one service's admission.
type Status struct {
	Counts
	Limit    int
	InFlight int
	Waiting  int
	// Standing is set while a queue stands and waits are kept short.
	Standing bool
}

// Status returns the state of each service's admission.
func (c *Controller) Status() map[string]Status {
	all := map[string]Status{}
	c.each(func(service string, core *Scheduler) {
		all[service] = Status{Counts: core.Counts(), Limit: core.Limit(), InFlight: core.InFlight(), Waiting: core.Waiting(), Standing: core.Standing()}
	})
	return all
}
