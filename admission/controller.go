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
	expireInterval = 50 * time.Millisecond
	// idleInterval is the interval between expiry checks while no request waits.
	idleInterval    = time.Second
	observeInterval = 500 * time.Millisecond
)

// Upstreams reports upstream load to a Controller and takes its local limit. routing.Balancer
// implements it for a node's region.
type Upstreams interface {
	// Pressure returns the load that a service's upstreams report, first for this region, then
	// for all others.
	Pressure(service string) (here, elsewhere routing.Pressure)
	// LimitLocal sets the maximum number of requests that should be at this region's upstreams.
	LimitLocal(service string, limit int)
}

// Controller admits the requests of one node, service by service. It is safe for concurrent
// use.
type Controller struct {
	clock     clockwork.Clock
	settings  func(service string) Settings
	upstreams Upstreams

	// waiterQueued wakes Run when a request joins an empty queue.
	waiterQueued chan struct{}

	mu         sync.Mutex
	schedulers map[string]*Scheduler
}

// NewController returns a controller. It calls settings when a service is first used and
// periodically afterwards.
func NewController(clock clockwork.Clock, settings func(service string) Settings, upstreams Upstreams) *Controller {
	return &Controller{clock: clock, settings: settings, upstreams: upstreams,
		waiterQueued: make(chan struct{}, 1), schedulers: map[string]*Scheduler{}}
}

// Admit blocks until the request may be sent. release must be called when the request has left
// its upstream; further calls do nothing. The error is Overloaded, or CallerGone if ctx was
// canceled first; in both cases nothing was sent.
func (c *Controller) Admit(ctx context.Context, params routing.Request) (release func(), err error) {
	decision := make(chan error, 1)
	scheduler, request := c.submit(params, decision)
	select {
	case err = <-decision:
	case <-ctx.Done():
		if c.cancel(scheduler, request) {
			return nil, contextError(ctx)
		}
		err = <-decision
	}
	if err != nil {
		return nil, err
	}
	return func() { c.release(scheduler, request) }, nil
}

// contextError distinguishes a passed deadline from a canceled request.
func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.New(result.Overloaded, "the deadline passed while the request waited").WithRetryAfter(minRetryAfter)
	}
	return result.New(result.CallerGone, "the caller left while its request waited")
}

func (c *Controller) submit(params routing.Request, decision chan<- error) (*Scheduler, *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	scheduler := c.schedulers[params.Service]
	if scheduler == nil {
		scheduler = NewScheduler(c.settings(params.Service))
		c.schedulers[params.Service] = scheduler
	}
	queueWasEmpty := scheduler.Waiting() == 0
	request := scheduler.Submit(c.clock.Now(), params, func(err error) { decision <- err })
	if queueWasEmpty && scheduler.Waiting() > 0 {
		select {
		case c.waiterQueued <- struct{}{}:
		default:
		}
	}
	return scheduler, request
}

// nextExpireInterval returns the time until the next check for requests that have waited too
// long.
func (c *Controller) nextExpireInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, scheduler := range c.schedulers {
		if scheduler.Waiting() > 0 {
			return expireInterval
		}
	}
	return idleInterval
}

func (c *Controller) cancel(scheduler *Scheduler, r *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return scheduler.Cancel(r)
}

func (c *Controller) release(scheduler *Scheduler, r *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	scheduler.Release(c.clock.Now(), r)
}

// Run refuses requests that have waited too long and adjusts limits to the upstreams' queues,
// until ctx ends. It checks for expired requests at the short interval only while any request
// waits.
func (c *Controller) Run(ctx context.Context) {
	observe := c.clock.NewTicker(observeInterval)
	defer observe.Stop()
	expire := c.clock.NewTimer(idleInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.waiterQueued:
			expire.Reset(expireInterval)
		case <-expire.Chan():
			c.forEach(func(_ string, scheduler *Scheduler) { scheduler.Expire(c.clock.Now()) })
			expire.Reset(c.nextExpireInterval())
		case <-observe.Chan():
			c.forEach(func(service string, scheduler *Scheduler) {
				scheduler.Configure(c.settings(service))
				local, remote := c.upstreams.Pressure(service)
				scheduler.Observe(c.clock.Now(), local, remote)
				c.upstreams.LimitLocal(service, scheduler.LocalLimit())
			})
		}
	}
}

func (c *Controller) forEach(fn func(service string, scheduler *Scheduler)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, scheduler := range c.schedulers {
		fn(service, scheduler)
	}
}

// Status is the admission state of one service as shown to operators.
type Status struct {
	Counts
	Limit    int
	InFlight int
	Waiting  int
	// Standing is set while a standing queue is detected and waits are kept short.
	Standing bool
}

// Status returns the admission state of each service.
func (c *Controller) Status() map[string]Status {
	all := map[string]Status{}
	c.forEach(func(service string, scheduler *Scheduler) {
		all[service] = Status{Counts: scheduler.Counts(), Limit: scheduler.Limit(), InFlight: scheduler.InFlight(), Waiting: scheduler.Waiting(), Standing: scheduler.Standing()}
	})
	return all
}
