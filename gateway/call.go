package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/result"
)

// call is one request under way.
type call struct {
	g       *Gateway
	r       *Request
	sink    Sink
	view    *catalog.View
	route   *catalog.Route
	service *catalog.Service
	account *catalog.Account

	// reserved is the tokens set aside; zero if the account isn't limited.
	reserved int64
	// loan is set where another node reserved the tokens.
	loan *lending.Loan
	// tally is how asking other nodes went.
	tally lending.BorrowStats
	// sends counts sends, ran those after which the request may have run.
	sends, ran int
	tried      []*directory.Upstream
	// upstream is the one that the request was last sent to, sentAt when.
	upstream *directory.Upstream
	sentAt   time.Duration
	// repeatTaken tells that the budget for repeats has granted the next send already.
	repeatTaken atomic.Bool
	// started tells that the answer's head is on its way to the caller.
	started bool
	// gone tells that writing to the caller failed.
	gone bool
	// events counts delivered events, lastEvent is the last one's number.
	events int64
	// firstEvent is the time from arrival to the first event, longestGap the longest
	// pause between two events since, lastAt the arrival of the last one.
	firstEvent, longestGap, lastAt time.Duration
	lastEvent                      int64
	hasEvent                       bool
	// fallback is an upstream's failure that is passed on if no other upstream does
	// better.
	fallback *heldAnswer
	outcome  string
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
	if c.service = c.view.Service(c.route.ChooseService(draw())); c.service == nil {
		return result.New(result.NoUpstream, "the route has no service").WithRetryAfter(c.g.settings.BusyRetryAfter)
	}
	if c.left() < c.g.settings.MinTimeLeft {
		return result.New(result.Overloaded, "too little time is left").WithRetryAfter(c.g.settings.BusyRetryAfter)
	}
	return c.reserve(ctx)
}

// reserve sets the request's largest use aside.
func (c *call) reserve(ctx context.Context) *result.Error {
	if c.account == nil || !c.account.HasPrepaid || c.service.Engine == nil || c.r.most() == 0 {
		return nil
	}
	c.awaitFirstGrant(ctx)
	verdict := c.g.Share.Reserve(c.account.Name, c.r.most(), c.account.Prepaid)
	if verdict == prepaid.ReportRequired {
		verdict = c.reserveAfterReport(ctx)
	}
	if verdict == prepaid.Insufficient && c.borrow(ctx) {
		return nil
	}
	switch verdict {
	case prepaid.Reserved:
		c.reserved = c.r.most()
		return nil
	case prepaid.Exhausted:
		return result.New(result.BudgetSpent, "the account's remaining tokens don't cover the request")
	default:
		return result.New(result.BudgetReserved, "this node's part of the account's tokens doesn't cover the request now").WithRetryAfter(c.shortRetry())
	}
}

func (c *call) shortRetry() time.Duration {
	if c.tally.KnownShortage || c.tally.Asked > c.tally.Unanswered {
		return c.g.settings.FleetShortageRetryAfter
	}
	return c.g.settings.LocalShortageRetryAfter
}

// borrow has another node reserve the tokens. Without it a node whose part of an account
// is used up refuses while others hold plenty, most of all while the store is out of
// reach and no part can be moved.
func (c *call) borrow(ctx context.Context) bool {
	loan, tally, ok := c.g.Borrower.Borrow(ctx, c.account.Name, c.r.most(), c.g.Share.HasAllocation(c.account.Name))
	c.tally = tally
	if !ok {
		return false
	}
	c.loan = &loan
	c.g.Events.Record(event.PartBorrowed, "request", c.r.ID, "account", c.account.Name, "lender", loan.Peer.Node, "tokens", c.r.most())
	return true
}

func (c *call) reserveAfterReport(ctx context.Context) prepaid.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.g.settings.ReportTimeout)
	defer cancel()
	if err := c.g.ReportUsage(ctx); err != nil {
		return prepaid.Insufficient // the reporter logs why
	}
	return c.g.Share.Reserve(c.account.Name, c.r.most(), c.account.Prepaid)
}

// left is the time until the caller or the operator wants an answer at the latest.
func (c *call) left() time.Duration {
	limit := c.route.Timeout
	if c.r.TimeLeft > 0 && (limit <= 0 || c.r.TimeLeft < limit) {
		limit = c.r.TimeLeft
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit - c.g.since(c.r.Arrived)
}

// defaultTimeout bounds requests whose route and caller name none.
const defaultTimeout = 30 * time.Second

// settle books what the request used and writes its closing line.
func (c *call) settle() {
	used := c.used()
	if c.reserved > 0 {
		c.g.Share.Settle(c.account.Name, c.reserved, used)
	}
	if c.loan != nil {
		go c.g.Borrower.Settle(*c.loan, used)
	}
	c.g.Metrics.finish(c.route.Name, c.outcome, c.g.since(c.r.Arrived))
	c.g.Events.Record(event.RequestEnded, "request", c.r.ID, "route", c.route.Name, "account", c.accountName(),
		"config", c.view.Version, "outcome", c.outcome, "sends", c.sends, "events", c.events, "first_ms", c.firstEvent.Milliseconds(), "gap_ms", c.longestGap.Milliseconds(), "upstream", c.lastUpstream(),
		"reserved", c.reserved, "used", used, "ms", c.g.since(c.r.Arrived).Milliseconds())
}

// used is the tokens that count against the account: nothing if the request surely
// didn't run, otherwise its prompt and what was delivered.
func (c *call) used() int64 {
	if c.ran == 0 || c.service.Engine == nil {
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
		PromptTokens: int(c.r.PromptTokens), Prefix: c.r.Prefix, Tried: c.tried}
}

// refuse answers for the fleet and logs why.
func (c *call) refuse(e *result.Error) {
	pairs := []any{"request", c.r.ID, "code", uint32(e.Code), "reason", e.Message, event.RetryAfterField, e.RetryAfter, "sends", c.sends}
	if c.view != nil {
		pairs = append(pairs, "config", c.view.Version)
	}
	if c.account != nil && c.account.HasPrepaid {
		s := c.g.Share.Status(c.account.Name)
		pairs = append(pairs, "account", c.account.Name, "tokens", c.r.most(), "spent", s.Spent, "held", s.Reserved,
			"limit", s.Limit, "ceiling", s.Ceiling, "left", s.Remaining, "prepaid", c.account.Prepaid, "promise_age", s.LimitAge,
			"lenders", c.tally.Lenders, "asked", c.tally.Asked, "asks_lost", c.tally.Unanswered, "known_short", c.tally.KnownShortage)
	}
	c.g.Events.Record(event.RequestRefused, pairs...)
	c.g.Metrics.refuse(e.Code)
	c.sink.Refuse(e)
}
