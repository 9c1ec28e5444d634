package recovery

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	queryTimeout = time.Second
	// maxConcurrentQueries bounds how many requests are looked up at engines at a time.
	maxConcurrentQueries = 32
)

// collector collects the requests billed to one incarnation from the nodes that may know
// of them, and decides what each is billed.
type collector struct {
	recoverer   *Recoverer
	incarnation string
	started     time.Time
	// endedAt is when the incarnation was found to have ended for good; zero while it may
	// return with knowledge that it alone has.
	endedAt time.Time
	// sinceLastBatch is how long the incarnation had been silent when the collector started.
	sinceLastBatch time.Duration

	// closeOffset is the offset of the incarnation's close.
	closeOffset uint64
	// unanswered holds the peer addresses of the nodes that have yet to answer, by incarnation.
	unanswered map[string]string
	// openedLater holds, for each node that is or was in unanswered, whether it opened after
	// the close; such a node knows only what others know or knew.
	openedLater map[string]bool
	// evidenceLost is set once a node that may have known of requests has certainly ended.
	evidenceLost bool
	// handedOver is set when a node was found to have left after handing over what it knew.
	handedOver bool
	found      map[string]*fleetv1.OpenRequest
	outcomes   map[string]outcome
}

// newCollector returns a collector that queries all nodes in the log about an incarnation
// that was closed at closeOffset.
func (r *Recoverer) newCollector(incarnation string, closeOffset uint64) *collector {
	c := &collector{
		recoverer: r, incarnation: incarnation, closeOffset: closeOffset, started: r.config.Clock.Now(), sinceLastBatch: r.config.Watcher.SinceLastBatch(incarnation),
		unanswered: map[string]string{}, openedLater: map[string]bool{},
		found: map[string]*fleetv1.OpenRequest{}, outcomes: map[string]outcome{},
	}
	c.addNodes()
	return c
}

// addNodes adds the nodes that the log has opened since the last call. One that opened
// after the close can't have heard from the incarnation itself, but a witness may have
// copied its store to it and died.
func (c *collector) addNodes() {
	for id, i := range c.recoverer.config.Ledger.Incarnations() {
		// A lender queries itself too: it may be a witness of the borrower.
		if _, known := c.openedLater[id]; known || id == c.incarnation && id != c.recoverer.config.Incarnation {
			continue
		}
		c.openedLater[id] = i.Opened >= c.closeOffset
		c.unanswered[id] = i.Node.GetPeerAddress()
	}
}

func (c *collector) age() time.Duration { return c.recoverer.config.Clock.Since(c.started) }

// allAnswered reports whether all nodes that can answer have done so.
func (c *collector) allAnswered() bool { return len(c.unanswered) == 0 }

// overdue reports whether the collector stops waiting for missing answers.
func (c *collector) overdue() bool { return c.age() > c.recoverer.config.LostAfter }

// queryNodes queries the nodes that haven't answered yet. An answer is final: the
// incarnation's right to spend has expired, so no request that it reports to a witness
// later is dispatched.
func (c *collector) queryNodes(ctx context.Context) {
	c.addNodes()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for id, address := range maps.Clone(c.unanswered) {
		wait.Go(func() {
			requests, state := c.queryNode(ctx, id, address)
			mu.Lock()
			defer mu.Unlock()
			c.addAnswer(id, requests, state)
		})
	}
	wait.Wait()
	if c.handedOver {
		c.handedOver = false
		c.resetQueries()
	}
}

// resetQueries queues all nodes to be queried again. A node that left may have handed over
// its store to one that had already answered: that answer then wasn't final after all, and
// the requests handed over would not be billed to anybody.
func (c *collector) resetQueries() {
	clear(c.openedLater)
	c.addNodes()
}

type answerState int

const (
	noAnswer answerState = iota
	answered
	nodeGone
	nodeLeft
)

func (c *collector) addAnswer(id string, requests []*fleetv1.OpenRequest, state answerState) {
	if state == noAnswer {
		return
	}
	delete(c.unanswered, id)
	c.evidenceLost = c.evidenceLost || state == nodeGone && !c.openedLater[id]
	c.handedOver = c.handedOver || state == nodeLeft
	for _, o := range requests {
		if known := c.found[o.GetRequest()]; !known.GetFinished() {
			c.found[o.GetRequest()] = o
		}
	}
}

func (c *collector) queryNode(ctx context.Context, id, address string) ([]*fleetv1.OpenRequest, answerState) {
	if id == c.recoverer.config.Incarnation {
		return c.recoverer.Report(c.incarnation), answered
	}
	i, known := c.recoverer.config.Ledger.Incarnation(id)
	if !known {
		// It stopped gracefully or settled its own close, after handing over its store, or
		// was itself recovered, and was queried before that.
		return nil, nodeLeft
	}
	if c.recoverer.hasEnded(i) {
		return nil, nodeGone
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.recoverer.config.Clock, queryTimeout)
	defer cancel()
	response, err := c.recoverer.config.Caller.Call(ctx, address, &fleetv1.Request{
		From: c.recoverer.config.Incarnation, Hlc: uint64(c.recoverer.config.Events.Clock().Now()),
		Body: &fleetv1.Request_WitnessQuery{WitnessQuery: &fleetv1.WitnessQuery{Incarnation: c.incarnation, Witness: id}},
	})
	switch {
	case err != nil:
		return nil, noAnswer
	case result.Code(response.GetCode()) == result.IncarnationClosed:
		return nil, nodeGone
	case response.GetCode() != uint32(result.OK):
		return nil, noAnswer
	}
	return response.GetWitnessReport().GetOpen(), answered
}

// checkEnded sets endedAt once the incarnation has certainly ended.
func (c *collector) checkEnded() {
	if !c.endedAt.IsZero() {
		return
	}
	i, known := c.recoverer.config.Ledger.Incarnation(c.incarnation)
	if known && c.recoverer.hasEnded(i) {
		c.endedAt = c.recoverer.config.Clock.Now()
	}
}

// mayReturn reports whether the incarnation may return and settle its requests itself. A
// partitioned node is closed once its right to spend has expired, and may have answered
// requests unknown to all others: if its shares were released before it returns, these
// would not be billed to anybody.
func (c *collector) mayReturn() bool { return c.endedAt.IsZero() && !c.overdue() }

// stillAnswers reports whether the closed incarnation itself answers: a node that was cut
// off, is connected again and hasn't read its close yet. It alone knows all that it
// answered meanwhile, and writes it to the log as soon as it reads the close. If its shares
// were released before that, its settlements would be void and its answers unbilled.
func (c *collector) stillAnswers(ctx context.Context) bool {
	i, known := c.recoverer.config.Ledger.Incarnation(c.incarnation)
	if !known || i.Replaced {
		return false
	}
	_, state := c.queryNode(ctx, c.incarnation, i.Node.GetPeerAddress())
	return state == answered
}

// resolve decides the outcomes of the wanted requests found so far and reports whether all
// of these are decided.
func (c *collector) resolve(ctx context.Context, wanted func(request string) bool) bool {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	var mu sync.Mutex
	for _, open := range c.undecidedRequests(wanted) {
		group.Go(func() error {
			decided := c.currentOutcome(ctx, open)
			mu.Lock()
			defer mu.Unlock()
			c.setOutcome(open.GetRequest(), open, decided)
			return nil
		})
	}
	_ = group.Wait()
	return len(c.undecidedRequests(wanted)) == 0
}

// currentOutcome uses known outcomes only while the incarnation may return, as it knows what
// a plain service never reports, and while the engine is cut off: the engine will report
// afterwards, and the worst case would bill more than it produced.
func (c *collector) currentOutcome(ctx context.Context, open *fleetv1.OpenRequest) outcome {
	engines := c.recoverer.config.Engines
	unreachable := engines.ReportsUsage(open.GetUpstream()) && !engines.Reachable(open.GetUpstream())
	switch {
	case c.overdue():
		return outcomeOf(ctx, engines, open, EngineWait)
	case c.mayReturn() || unreachable:
		return knownOutcome(ctx, engines, open)
	default:
		return outcomeOf(ctx, engines, open, c.recoverer.config.Clock.Since(c.endedAt))
	}
}

func (c *collector) undecidedRequests(wanted func(request string) bool) []*fleetv1.OpenRequest {
	var open []*fleetv1.OpenRequest
	for request, o := range c.found {
		if c.outcomes[request].from == undecided && wanted(request) {
			open = append(open, o)
		}
	}
	return open
}

func (c *collector) setOutcome(request string, open *fleetv1.OpenRequest, decided outcome) {
	if decided.from == undecided {
		return
	}
	c.outcomes[request] = decided
	c.recoverer.config.Events.Record(event.RequestRecovered, "request", request, "budget", open.GetBudget(),
		"tokens", decided.tokens, "reserved", open.GetReserved(), "from", string(decided.from))
}

// lost reports whether the rest of the incarnation's shares may have been spent by requests
// that no node, or only the incarnation itself, knows of. An incarnation that wrote to the
// log until shortly before it ended had at most its last moments unsettled.
func (c *collector) lost() bool {
	return !c.allAnswered() || c.endedAt.IsZero() || c.evidenceLost && c.sinceLastBatch > maxSinceLastBatch
}
