package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bodybuffer"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/streamorigin"
)

const (
	// outcomeServed is the outcome of a request whose caller got the complete response.
	outcomeServed = "served"
	// outcomeRefused is the outcome of a request that certainly did not run.
	outcomeRefused = "refused"
)

// call is the state of one request in progress.
type call struct {
	g       *Gateway
	r       *Request
	sink    Sink
	view    *catalog.View
	route   *catalog.Route
	service *catalog.Service
	account *catalog.Account
	// regions are those in which the request may be served.
	regions catalog.Regions
	// linkDelay is how long messages of this node waited on its link when the request was read.
	linkDelay time.Duration
	// content identifies what the caller asks for over all of its attempts.
	content quarantine.ID
	// permit is the right to send it.
	permit *quarantine.Permit
	// parts are the parts of the prompt that other requests may share, partIDs identify them.
	parts   []quarantine.Part
	partIDs []quarantine.ID
	// trial is set if the request is sent once to learn whether a blocked part still crashes upstreams.
	trial bool
	// othersTold is closed once the other nodes know which upstream crashed under the request last; nil if none did.
	othersTold <-chan struct{}

	// held is the number of tokens that the open request holds in the memory of its upstream.
	held int64
	// reserved is the number of tokens reserved; zero if the account is not limited.
	reserved int64
	// loan is set if another node reserved the tokens.
	loan *lending.Loan
	// borrowStats describes the requests for tokens made to other nodes.
	borrowStats lending.BorrowStats
	// sends counts sends, unsent those of which nothing left this node through the fault of the upstream or
	// of the path to it, possibleRuns those after which the request may have run.
	sends, unsent, possibleRuns int
	tried                       []*directory.Upstream
	// unreached are those of tried that nothing was sent to; awaited counts the waits for them.
	unreached []*directory.Upstream
	awaited   int
	// waitedForRoom is how long the request has waited for room at brittle upstreams.
	waitedForRoom time.Duration
	// upstream is the one the request was last sent to, at lastSentAt.
	upstream   *directory.Upstream
	lastSentAt time.Duration
	// retryTaken reports that the retry budget has already granted the next send.
	retryTaken atomic.Bool
	// responseStarted reports that the status and headers have been passed to the caller.
	responseStarted bool
	// callerGone reports that writing to the caller failed or that it closed its connection, closeUnhandled
	// that the process hadn't read that close yet.
	callerGone, closeUnhandled bool
	// events counts delivered events; lastEvent is the ID of the last one.
	events int64
	// firstEvent is the time from arrival to the first event, longestGap the longest pause
	// between two later events, lastEventAt the arrival of the last one.
	firstEvent, longestGap, lastEventAt time.Duration
	lastEvent                           int64
	hasEvent                            bool
	// knownEvent is the ID of an event that an upstream broke off within; zero if there is none.
	knownEvent int64
	// onlyDeclared limits the stream's beginning to declared versions; it is set once an upstream of another one was
	// picked. declarationAwaited reports that the request has waited for a declaration.
	onlyDeclared, declarationAwaited bool
	// origin is where the stream began; nil before its first event.
	origin atomic.Pointer[streamorigin.Origin]
	// fallback is an upstream's error response, forwarded if no other upstream does better.
	fallback *bufferedResponse
	// bodies hold what was read of responses; they are released with the call.
	bodies  []*bodybuffer.Buffer
	outcome string
	stages  stages
	// succeeded reports that the caller got a complete response without an error status.
	succeeded bool
}

// admit decides whether the request may be sent at all.
func (c *call) admit(ctx context.Context) *result.Error {
	if c.view = c.g.awaitConfig(ctx, c.r.TimeLeft); c.view == nil {
		return result.New(result.NotServing, "no configuration is known yet").WithRetryAfter(c.g.settings.StartupRetryAfter)
	}
	c.route = c.view.Match(c.r.Host, c.r.Path)
	if c.route == nil {
		return result.New(result.UnknownService, "no route has this host and path")
	}
	if c.view.RequiresKey(c.route) {
		if c.account = c.view.Authenticate(c.r.Key); c.account == nil {
			return result.New(result.UnknownKey, "the key belongs to no client account")
		}
	}
	if c.service = c.view.Service(c.route.ChooseService(random())); c.service == nil {
		return result.New(result.NoUpstream, "the route has no service").WithRetryAfter(c.g.settings.BusyRetryAfter)
	}
	c.regions = c.allowedRegions()
	c.linkDelay = c.g.linkDelay()
	ctx, cancel := context.WithTimeout(ctx, c.timeLeft())
	defer cancel()
	c.content, c.parts = contentOf(c.r, c.accountName()), sharedParts(c.r)
	c.partIDs = quarantine.PartIDs(c.parts)
	c.permit = c.g.Quarantine.NewPermit(c.r.ID, c.content)
	if refusal := c.refuseIfCrashing(); refusal != nil {
		return refusal
	}
	if c.mayOutlastNode() {
		return drain.Refusal()
	}
	if c.timeLeft() < c.g.settings.MinTimeLeft {
		if waited := c.r.Unread + c.r.Turn + c.linkDelay; c.timeLeft()+waited >= c.g.settings.MinTimeLeft {
			return result.New(result.ReadLate, "the request waited %s to be read", waited).WithRetryAfter(c.g.settings.BusyRetryAfter)
		}
		return result.New(result.Overloaded, "too little time is left").WithRetryAfter(c.g.settings.BusyRetryAfter)
	}
	if refusal := c.resolveOrigin(ctx); refusal != nil {
		return refusal
	}
	if refusal := c.refuseOutsideRegions(); refusal != nil {
		return refusal
	}
	if refusal := c.refuseIfPaused(); refusal != nil {
		return refusal
	}
	if refusal := c.refuseIfTooLarge(); refusal != nil {
		return refusal
	}
	return c.reserve(ctx)
}

// reserve reserves the most tokens that the request can use.
func (c *call) reserve(ctx context.Context) *result.Error {
	if c.account == nil || !c.account.HasPrepaid || c.service.Engine == nil || c.r.maxTokens() == 0 {
		return nil
	}
	c.awaitTokens(ctx)
	outcome := c.g.Share.Reserve(c.account.Name, c.r.maxTokens(), c.account.Prepaid)
	if outcome == prepaid.ReportRequired {
		outcome = c.reserveAfterReports(ctx)
	}
	if outcome == prepaid.Insufficient && c.borrow(ctx) {
		return nil
	}
	switch outcome {
	case prepaid.Reserved:
		c.reserved = c.r.maxTokens()
		return nil
	case prepaid.Deferred:
		s := c.g.Share.Status(c.account.Name)
		return result.New(result.KeptForSmaller, "what is left of the account, %d tokens, is kept for requests of at most %d tokens", s.Remaining, s.MaxRequest).
			WithRetryAfter(prepaid.DeferredRetryAfter(random()))
	case prepaid.Exhausted:
		return result.New(result.BudgetSpent, "the account's remaining tokens don't cover the request")
	default:
		return result.New(result.BudgetReserved, "this node's part of the account's tokens doesn't cover the request now").WithRetryAfter(c.shortageRetryAfter())
	}
}

func (c *call) shortageRetryAfter() time.Duration {
	shortage := prepaid.Shortage{
		Asked:       c.borrowStats.KnownShortage || c.borrowStats.Asked > 0,
		Partitioned: c.g.Share.Partitioned(),
	}
	return shortage.RetryAfter(random())
}

// borrow has another node reserve the tokens. Otherwise a node that has used up its share of an
// account would refuse requests while other nodes hold plenty, above all while the store is
// unreachable and shares cannot be moved.
func (c *call) borrow(ctx context.Context) bool {
	loan, stats, ok := c.g.Borrower.Borrow(ctx, c.account.Name, c.r.maxTokens(), c.g.Share.HasAllocation(c.account.Name))
	c.borrowStats = stats
	if !ok {
		return false
	}
	c.loan = &loan
	c.g.Events.Record(event.PartBorrowed, "request", c.r.ID, "account", c.account.Name, "lender", loan.Peer.Node, "tokens", c.r.maxTokens())
	return true
}

// reserveAfterReports reports until the limit covers the request: other requests may take what one
// report allowed.
func (c *call) reserveAfterReports(ctx context.Context) prepaid.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.g.settings.ReportTimeout)
	defer cancel()
	for {
		if err := c.g.ReportUsage(ctx); err != nil {
			return prepaid.Insufficient // the reporter logs the error
		}
		if outcome := c.g.Share.ReserveAgain(c.account.Name, c.r.maxTokens(), c.account.Prepaid); outcome != prepaid.ReportRequired {
			return outcome
		}
	}
}

// timeLimit returns the time limit of the caller or of the route, whichever is shorter, counted
// from the request's arrival.
func (c *call) timeLimit() time.Duration {
	limit := c.route.Timeout
	if c.r.TimeLeft > 0 && (limit <= 0 || c.r.TimeLeft < limit) {
		limit = c.r.TimeLeft
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// timeLeft returns the time until the request's limit, less what the answer will wait on the link.
func (c *call) timeLeft() time.Duration {
	return queuedelay.TimeLeft(c.timeLimit(), c.g.since(c.r.Arrived), c.linkDelay)
}

// defaultTimeout applies if neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

// settle settles the tokens that the request used and records its final event.
func (c *call) settle() {
	for _, b := range c.bodies {
		b.Release()
	}
	used := c.used()
	if c.reserved > 0 {
		c.g.Share.Settle(c.account.Name, c.reserved, used)
	}
	if c.loan != nil {
		go c.g.Borrower.Settle(*c.loan, used)
	}
	took := c.g.since(c.r.Arrived)
	if c.outcome == outcomeServed { // whatever its status
		c.g.Quarantine.Answered(c.content)
	}
	if c.succeeded {
		if c.streamResumable() {
			c.g.Origins.Finish(c.streamID())
		}
		c.g.durations.Record(c.route.Name, took)
		c.observeResponse()
	}
	c.g.Metrics.recordFinished(c.route.Name, c.outcome, took)
	c.stages[stageUnread], c.stages[stageTurn], c.stages[stageBody] = c.r.Unread, c.r.Turn, c.r.BodyRead
	c.g.Metrics.recordStages(&c.stages)
	c.g.Events.Record(event.RequestEnded, "request", c.r.ID, "route", c.route.Name, "account", c.accountName(),
		"config", c.view.Version, "outcome", c.outcome, "sends", c.sends, "events", c.events, "first_ms", c.firstEvent.Milliseconds(), "gap_ms", c.longestGap.Milliseconds(), "upstream", c.lastUpstream(),
		"reserved", c.reserved, "used", used, "ms", took.Milliseconds(), "unread_ms", c.r.Unread.Milliseconds(), "stages_ms", c.stages.String(), "link_ms", c.g.linkDelay().Milliseconds())
}

// used returns the tokens charged to the account: none if the request certainly did not run,
// otherwise its prompt and the delivered output.
func (c *call) used() int64 {
	if c.possibleRuns == 0 || c.service.Engine == nil {
		return 0
	}
	return c.r.PromptTokens + min(c.r.MaxOutput, c.events*int64(c.service.Engine.TokensPerEvent))
}

func (c *call) lastUpstream() string {
	if c.upstream == nil {
		return ""
	}
	return c.upstream.ID
}

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

func (c *call) query() *placement.Request {
	return &placement.Request{Now: c.g.Clock.Now(), DataCentre: c.g.DataCentre, Region: c.g.Region,
		PromptTokens: int(c.r.PromptTokens), Tokens: c.tokens(), KVCapacity: c.kvCapacity(), Prefix: c.r.Prefix, Tried: c.tried, Limited: c.regions.Limited()}
}

// refuse responds with an error and records the reason.
func (c *call) refuse(e *result.Error) {
	pairs := []any{"request", c.r.ID, "code", uint32(e.Code), "reason", e.Message, event.RetryAfterField, e.RetryAfter, "sends", c.sends, "unread_ms", c.r.Unread.Milliseconds(), "turn_ms", c.r.Turn.Milliseconds(), "link_ms", c.g.linkDelay().Milliseconds()}
	if c.view != nil {
		pairs = append(pairs, "config", c.view.Version)
	}
	if c.account != nil && c.account.HasPrepaid {
		s := c.g.Share.Status(c.account.Name)
		pairs = append(pairs, "account", c.account.Name, "tokens", c.r.maxTokens(), "spent", s.Spent, "held", s.Reserved,
			"limit", s.Limit, "ceiling", s.Ceiling, "left", s.Remaining, "max_request", s.MaxRequest, "prepaid", c.account.Prepaid, "promise_age", s.LimitAge,
			"lenders", c.borrowStats.Lenders, "asked", c.borrowStats.Asked, "asks_lost", c.borrowStats.Unanswered, "known_short", c.borrowStats.KnownShortage)
	}
	c.g.Events.Record(event.RequestRefused, pairs...)
	c.g.Metrics.recordRefused(e.Code)
	c.sink.Refuse(e)
}
