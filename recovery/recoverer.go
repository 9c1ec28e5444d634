package recovery

import (
	"context"
	"math"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/upstream"
	"lavenderpin.dev/lavenderpin/witness"
)

const (
	// rankDelay is how much later each further node begins to recover an incarnation.
	// Several may do it, as settlements are folded once; one is enough.
	rankDelay = 20 * time.Second
	// unloggedTolerance is how long an incarnation may have been silent in the log
	// before its end for its unsettled spend to count as its last moments only.
	unloggedTolerance = 2 * time.Minute
	// maxPerEntry bounds the settlements of one log entry.
	maxPerEntry = 5000
)

// Config is what a Recoverer works with.
type Config struct {
	Incarnation string
	Clock       clockwork.Clock
	Ledger      *budget.Ledger
	Lender      *budget.Lender
	Journal     budget.Submitter
	Caller      peer.Caller
	Events      *event.Recorder
	Watcher     *Watcher
	Store       *witness.Store
	Replicator  *witness.Replicator
	Engines     Engines
	// Suspect tells whether a node doesn't answer.
	Suspect func(incarnation string) bool
	// PlatformAddresses returns the peer addresses that the platform's list shows, and when it
	// answered; PeerAddress is this node's own.
	PlatformAddresses func() (addresses map[string]bool, at time.Time)
	PeerAddress       string
	// LostAfter is how long recovery waits for nodes that may know more, the closed one
	// among them, before it writes off what is left.
	LostAfter time.Duration
}

// Recoverer settles and releases what closed incarnations left. Its Step is called
// by one goroutine.
type Recoverer struct {
	c     Config
	cases map[string]*recoveryCase
	// orphans holds an inquiry for each borrower that is gone.
	orphans map[string]*inquiry
	closes  []*recordlog.Ticket
	absence *AbsenceTracker
}

// recoveryCase is the recovery of one closed incarnation by this node.
type recoveryCase struct {
	*inquiry
	begun   bool
	pending *recordlog.Ticket
	queue   []*recordv1.Entry
	queued  bool
	// waits is what the time line was told last of why this waits.
	waits waitReason
}

// waitReason is why a recovery waits. Told at every step, it would push all else out of
// the memory of events during a cut of hours.
type waitReason struct {
	why               string
	unanswered, found int
}

// New returns a recoverer.
func New(config Config) *Recoverer {
	return &Recoverer{
		c: config, cases: map[string]*recoveryCase{}, orphans: map[string]*inquiry{},
		absence: NewAbsenceTracker(config.PeerAddress, config.PlatformAddresses),
	}
}

// Run works until ctx ends.
func (r *Recoverer) Run(ctx context.Context) {
	periodic.Run(ctx, r.c.Clock, askInterval, r.Step)
}

// Step does what is due now.
func (r *Recoverer) Step(ctx context.Context) {
	r.noteAbsent()
	r.closeSilent()
	r.recoverClosed(ctx)
	r.resolveOrphans(ctx)
	r.countSilent(ctx)
}

func (r *Recoverer) noteAbsent() {
	var addresses []string
	for _, i := range r.c.Ledger.Incarnations() {
		addresses = append(addresses, i.Node.GetPeerAddress())
	}
	r.absence.Update(addresses)
}

// hasEnded tells whether an incarnation's process has surely ended: another one has its
// address, or the platform no longer has the instance.
func (r *Recoverer) hasEnded(i budget.Incarnation) bool {
	return i.Replaced || r.absence.Gone(i.Node.GetPeerAddress())
}

// closeSilent asks the log to close silent incarnations. A close that hasn't left
// this node by the next step is withdrawn: it would come out of an outage ahead of
// the heartbeat that it waited for.
func (r *Recoverer) closeSilent() {
	for _, ticket := range r.closes {
		ticket.Withdraw()
	}
	r.closes = nil
	for _, due := range r.c.Watcher.Due() {
		r.c.Events.Record(event.ClosingSilent, "incarnation", due.GetIncarnation(), "heartbeat", due.GetLastHeartbeat())
		r.closes = append(r.closes, r.c.Journal.Submit(&recordv1.Entry{Body: &recordv1.Entry_Close{Close: due}}))
	}
}

// Report returns what this node knows of requests billed to an incarnation: what
// others told it, and the parts that it borrowed there itself.
func (r *Recoverer) Report(incarnation string) []*fleetv1.OpenRequest {
	return append(r.c.Store.Report(incarnation), r.c.Replicator.Report(incarnation)...)
}

func (r *Recoverer) recoverClosed(ctx context.Context) {
	incarnations := r.c.Ledger.Incarnations()
	for id := range r.cases {
		if _, known := incarnations[id]; !known {
			delete(r.cases, id)
		}
	}
	delay := rankDelay * time.Duration(rank(r.c.Incarnation, incarnations))
	for id, i := range incarnations {
		if !i.Closed || id == r.c.Incarnation {
			continue
		}
		held := r.cases[id]
		if held == nil {
			held = &recoveryCase{inquiry: r.newInquiry(id, i.ClosedAt)}
			r.cases[id] = held
		}
		if held.age() >= delay {
			r.advance(ctx, held)
		}
	}
}

// rank is this node's place among the open ones.
func rank(self string, incarnations map[string]budget.Incarnation) int {
	var open []string
	for id, i := range incarnations {
		if !i.Closed {
			open = append(open, id)
		}
	}
	sort.Strings(open)
	return sort.SearchStrings(open, self)
}

// advance takes one recovery further: ask, resolve, settle, release.
func (r *Recoverer) advance(ctx context.Context, c *recoveryCase) {
	if !c.begun {
		c.begun = true
		r.c.Events.Record(event.RecoveryStarted, "incarnation", c.subject, "to_ask", len(c.unasked))
	}
	if !c.queued && !r.conclude(ctx, c) {
		return
	}
	r.submit(c)
}

// conclude asks and resolves; true once all is known that anybody will ever tell.
func (r *Recoverer) conclude(ctx context.Context, c *recoveryCase) bool {
	c.ask(ctx)
	c.noteEnd()
	decided := c.resolve(ctx, func(string) bool { return true })
	why := ""
	switch {
	case !decided || (!c.answered() && !c.overdue()):
		why = "somebody may know more"
	case c.mayLive():
		why = "it may come back"
	case c.subjectLives(ctx):
		why = "it answers"
	default:
		c.queue, c.queued = c.entries(), true
		return true
	}
	if waits := (waitReason{why, len(c.unasked), len(c.found)}); waits != c.waits {
		c.waits = waits
		r.c.Events.Record(event.RecoveryWaiting, "incarnation", c.subject, "unanswered", waits.unanswered, "found", waits.found, "why", why)
	}
	return false
}

// entries lists what to append: settlements, and after them the release.
func (c *recoveryCase) entries() []*recordv1.Entry {
	var settlements []*recordv1.Settlement
	for request, o := range c.outcomes {
		if o.tokens > 0 {
			settlements = append(settlements, &recordv1.Settlement{Request: request, Budget: c.found[request].GetBudget(), Tokens: o.tokens})
		}
	}
	entries := settlementEntries(c.subject, settlements)
	return append(entries, &recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{
		Incarnation: c.subject, Lost: c.lost(),
	}}})
}

// submit appends one entry after the other. The release must not come before the
// settlements: it would put tokens into the pool that are spent.
func (r *Recoverer) submit(c *recoveryCase) {
	for {
		if c.pending != nil {
			select {
			case verdict := <-c.pending.Done():
				r.settled(c, verdict)
			default:
				return
			}
		}
		if len(c.queue) == 0 {
			return
		}
		c.pending = r.c.Journal.Submit(c.queue[0])
	}
}

func (r *Recoverer) settled(c *recoveryCase, verdict fold.Verdict) {
	done := c.queue[0].GetRecoveryDone()
	c.pending = nil
	c.queue = c.queue[1:]
	switch {
	case done == nil || !verdict.OK():
	case done.GetLost():
		r.c.Events.Record(event.ShareWrittenOff, "incarnation", c.subject, "tokens", verdict.Tokens)
	default:
		r.c.Events.Record(event.RecoveryFinished, "incarnation", c.subject, "tokens", verdict.Tokens, "after", c.age())
	}
}

// resolveOrphans ends the parts that this node lent to incarnations since gone.
func (r *Recoverer) resolveOrphans(ctx context.Context) {
	byBorrower := map[string][]budget.LentPart{}
	for _, part := range r.c.Lender.Orphans() {
		byBorrower[part.Borrower] = append(byBorrower[part.Borrower], part)
	}
	for borrower := range r.orphans {
		if byBorrower[borrower] == nil {
			delete(r.orphans, borrower)
		}
	}
	for borrower, parts := range byBorrower {
		if r.orphans[borrower] == nil {
			r.orphans[borrower] = r.newInquiry(r.c.Incarnation, math.MaxUint64)
			r.orphans[borrower].ended = r.c.Clock.Now() // the borrower has
		}
		r.resolveLent(ctx, r.orphans[borrower], parts)
	}
}

// resolveLent bills parts by what is found of them. A part that nobody knows of was
// never dispatched, unless somebody who may know is gone: then it pays all.
func (r *Recoverer) resolveLent(ctx context.Context, q *inquiry, parts []budget.LentPart) {
	q.ask(ctx)
	wanted := map[string]bool{}
	for _, part := range parts {
		wanted[part.Request] = true
	}
	decided := q.resolve(ctx, func(request string) bool { return wanted[request] })
	if !decided || (!q.answered() && !q.overdue()) {
		return
	}
	for _, part := range parts {
		tokens := q.outcomes[part.Request].tokens
		if q.found[part.Request] == nil && (!q.answered() || q.gone) {
			tokens = part.Tokens
		}
		r.c.Events.Record(event.PartResolved, "part", part.Request, "borrower", part.Borrower, "tokens", tokens)
		r.c.Lender.Settle(part.ID, tokens)
	}
}

// countSilent asks engines about requests of nodes that don't answer, long before
// those are closed: an engine remembers a finished request only for a while.
func (r *Recoverer) countSilent(ctx context.Context) {
	for _, incarnation := range r.c.Store.Incarnations() {
		if !r.c.Suspect(incarnation) {
			continue
		}
		for _, open := range r.c.Store.Report(incarnation) {
			r.count(ctx, open)
		}
	}
}

func (r *Recoverer) count(ctx context.Context, open *fleetv1.OpenRequest) {
	if open.GetFinished() || !r.c.Engines.ReportsUsage(open.GetUpstream()) {
		return
	}
	report, err := r.c.Engines.Usage(ctx, open.GetUpstream(), open.GetDispatchedAs())
	if err == nil && report.State == upstream.UsageFinished {
		r.c.Store.SetEngineUsage(open.GetRequest(), report.Total())
	}
}
