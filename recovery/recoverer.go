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
	// rankDelay is how much later each further node starts to recover an incarnation. Several
	// nodes may do so, as each settlement is folded once, but one is enough.
	rankDelay = 20 * time.Second
	// maxSinceLastBatch is how long before its end an incarnation may have stopped writing to
	// the log for its unsettled spend to count as its last moments only.
	maxSinceLastBatch = 2 * time.Minute
	// maxPerEntry bounds the settlements in one log entry.
	maxPerEntry = 5000
)

// Config configures a Recoverer.
type Config struct {
	Incarnation string
	Clock       clockwork.Clock
	Ledger      *budget.Ledger
	Lender      *budget.Lender
	Log         budget.Submitter
	Caller      peer.Caller
	Events      *event.Recorder
	Watcher     *Watcher
	Store       *witness.Store
	Replicator  *witness.Replicator
	Engines     Engines
	// Suspect reports whether a node doesn't answer.
	Suspect func(incarnation string) bool
	// PlatformAddresses returns the peer addresses in the platform's instance list and when
	// it was received; PeerAddress is this node's own.
	PlatformAddresses func() (addresses map[string]bool, at time.Time)
	PeerAddress       string
	// LostAfter is how long recovery waits for nodes that may know of more requests, including
	// the closed one, before it writes off the rest of the shares.
	LostAfter time.Duration
}

// Recoverer settles the requests and releases the shares of closed incarnations. Step must
// be called by one goroutine.
type Recoverer struct {
	config Config
	cases  map[string]*recoveryCase
	// orphans holds a collector for each borrower that is gone.
	orphans       map[string]*collector
	pendingCloses []*recordlog.Ticket
	absence       *AbsenceTracker
}

// recoveryCase is the recovery of one closed incarnation by this node.
type recoveryCase struct {
	*collector
	startRecorded bool
	pending       *recordlog.Ticket
	queue         []*recordv1.Entry
	queued        bool
	// lastWait is the reason for waiting that was last recorded as an event.
	lastWait waitReason
}

// waitReason is why a recovery waits. Only changes are recorded: one event per step would
// evict all others from the event buffer during a partition of hours.
type waitReason struct {
	why               string
	unanswered, found int
}

// New returns a Recoverer.
func New(config Config) *Recoverer {
	return &Recoverer{
		config: config, cases: map[string]*recoveryCase{}, orphans: map[string]*collector{},
		absence: NewAbsenceTracker(config.PeerAddress, config.PlatformAddresses),
	}
}

// Run calls Step periodically until ctx is done.
func (r *Recoverer) Run(ctx context.Context) {
	periodic.Run(ctx, r.config.Clock, stepInterval, r.Step)
}

// Step closes silent incarnations and advances all recoveries.
func (r *Recoverer) Step(ctx context.Context) {
	r.updateAbsence()
	r.closeSilent()
	r.recoverClosed(ctx)
	r.resolveOrphans(ctx)
	r.queryEngineUsage(ctx)
}

func (r *Recoverer) updateAbsence() {
	var addresses []string
	for _, i := range r.config.Ledger.Incarnations() {
		addresses = append(addresses, i.Node.GetPeerAddress())
	}
	r.absence.Update(addresses)
}

// hasEnded reports whether an incarnation's process has certainly ended: another one has
// its address, or the platform no longer lists the instance.
func (r *Recoverer) hasEnded(i budget.Incarnation) bool {
	return i.Replaced || r.absence.Gone(i.Node.GetPeerAddress())
}

// closeSilent submits closes for silent incarnations. A close still queued on this node at
// the next step is withdrawn: after an outage it would reach the log before the heartbeat
// that was waited for.
func (r *Recoverer) closeSilent() {
	for _, ticket := range r.pendingCloses {
		ticket.Withdraw()
	}
	r.pendingCloses = nil
	for _, due := range r.config.Watcher.Due() {
		r.config.Events.Record(event.ClosingSilent, "incarnation", due.GetIncarnation(), "heartbeat", due.GetLastHeartbeat())
		r.pendingCloses = append(r.pendingCloses, r.config.Log.Submit(&recordv1.Entry{Body: &recordv1.Entry_Close{Close: due}}))
	}
}

// Report returns the requests billed to an incarnation that this node knows of: those that
// others reported, and the parts that this node itself borrowed.
func (r *Recoverer) Report(incarnation string) []*fleetv1.OpenRequest {
	return append(r.config.Store.Report(incarnation), r.config.Replicator.Report(incarnation)...)
}

func (r *Recoverer) recoverClosed(ctx context.Context) {
	incarnations := r.config.Ledger.Incarnations()
	for id := range r.cases {
		if _, known := incarnations[id]; !known {
			delete(r.cases, id)
		}
	}
	delay := rankDelay * time.Duration(rank(r.config.Incarnation, incarnations))
	for id, i := range incarnations {
		if !i.Closed || id == r.config.Incarnation {
			continue
		}
		rc := r.cases[id]
		if rc == nil {
			rc = &recoveryCase{collector: r.newCollector(id, i.ClosedAt)}
			r.cases[id] = rc
		}
		if rc.age() >= delay {
			r.advance(ctx, rc)
		}
	}
}

// rank returns this node's index among the open incarnations.
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

// advance takes a recovery through its stages: query, resolve, settle, release.
func (r *Recoverer) advance(ctx context.Context, rc *recoveryCase) {
	if !rc.startRecorded {
		rc.startRecorded = true
		r.config.Events.Record(event.RecoveryStarted, "incarnation", rc.incarnation, "to_ask", len(rc.unanswered))
	}
	if !rc.queued && !r.collect(ctx, rc) {
		return
	}
	r.submit(rc)
}

// collect queries nodes and resolves outcomes. Once no more information can be expected, it
// queues the entries to append and returns true.
func (r *Recoverer) collect(ctx context.Context, rc *recoveryCase) bool {
	rc.queryNodes(ctx)
	rc.checkEnded()
	decided := rc.resolve(ctx, func(string) bool { return true })
	why := ""
	switch {
	case !decided || (!rc.allAnswered() && !rc.overdue()):
		why = "answers from nodes or engines are missing"
	case rc.mayReturn():
		why = "the incarnation may return"
	case rc.stillAnswers(ctx):
		why = "the incarnation still answers"
	default:
		rc.queue, rc.queued = rc.entries(), true
		return true
	}
	if waits := (waitReason{why, len(rc.unanswered), len(rc.found)}); waits != rc.lastWait {
		rc.lastWait = waits
		r.config.Events.Record(event.RecoveryWaiting, "incarnation", rc.incarnation, "unanswered", waits.unanswered, "found", waits.found, "why", why)
	}
	return false
}

// entries returns the log entries to append: settlements, then the release.
func (rc *recoveryCase) entries() []*recordv1.Entry {
	var settlements []*recordv1.Settlement
	for request, o := range rc.outcomes {
		if o.tokens > 0 {
			settlements = append(settlements, &recordv1.Settlement{Request: request, Budget: rc.found[request].GetBudget(), Tokens: o.tokens})
		}
	}
	entries := settlementEntries(rc.incarnation, settlements)
	return append(entries, &recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{
		Incarnation: rc.incarnation, Lost: rc.lost(),
	}}})
}

// submit appends the entries one at a time. The release must not precede the settlements:
// it would return spent tokens to the pool.
func (r *Recoverer) submit(rc *recoveryCase) {
	for {
		if rc.pending != nil {
			select {
			case verdict := <-rc.pending.Done():
				r.handleVerdict(rc, verdict)
			default:
				return
			}
		}
		if len(rc.queue) == 0 {
			return
		}
		rc.pending = r.config.Log.Submit(rc.queue[0])
	}
}

func (r *Recoverer) handleVerdict(rc *recoveryCase, verdict fold.Verdict) {
	done := rc.queue[0].GetRecoveryDone()
	rc.pending = nil
	rc.queue = rc.queue[1:]
	switch {
	case done == nil || !verdict.OK():
	case done.GetLost():
		r.config.Events.Record(event.ShareWrittenOff, "incarnation", rc.incarnation, "tokens", verdict.Tokens)
	default:
		r.config.Events.Record(event.RecoveryFinished, "incarnation", rc.incarnation, "tokens", verdict.Tokens, "after", rc.age())
	}
}

// resolveOrphans settles the parts that this node lent to incarnations that are gone.
func (r *Recoverer) resolveOrphans(ctx context.Context) {
	byBorrower := map[string][]budget.LentPart{}
	for _, part := range r.config.Lender.Orphans() {
		byBorrower[part.Borrower] = append(byBorrower[part.Borrower], part)
	}
	for borrower := range r.orphans {
		if byBorrower[borrower] == nil {
			delete(r.orphans, borrower)
		}
	}
	for borrower, parts := range byBorrower {
		if r.orphans[borrower] == nil {
			r.orphans[borrower] = r.newCollector(r.config.Incarnation, math.MaxUint64)
			r.orphans[borrower].endedAt = r.config.Clock.Now() // the borrower has ended
		}
		r.resolveLent(ctx, r.orphans[borrower], parts)
	}
}

// resolveLent bills parts by their collected outcomes. A part that no node knows of was never
// dispatched, unless a node that may have known is gone or didn't answer: it is then billed
// in full.
func (r *Recoverer) resolveLent(ctx context.Context, c *collector, parts []budget.LentPart) {
	c.queryNodes(ctx)
	wanted := map[string]bool{}
	for _, part := range parts {
		wanted[part.Request] = true
	}
	decided := c.resolve(ctx, func(request string) bool { return wanted[request] })
	if !decided || (!c.allAnswered() && !c.overdue()) {
		return
	}
	for _, part := range parts {
		tokens := c.outcomes[part.Request].tokens
		if c.found[part.Request] == nil && (!c.allAnswered() || c.evidenceLost) {
			tokens = part.Tokens
		}
		r.config.Events.Record(event.PartResolved, "part", part.Request, "borrower", part.Borrower, "tokens", tokens)
		r.config.Lender.Settle(part.ID, tokens)
	}
}

// queryEngineUsage queries engines about the requests of suspected nodes, long before these
// are closed: an engine remembers a finished request only for a while.
func (r *Recoverer) queryEngineUsage(ctx context.Context) {
	for _, incarnation := range r.config.Store.Incarnations() {
		if !r.config.Suspect(incarnation) {
			continue
		}
		for _, open := range r.config.Store.Report(incarnation) {
			r.storeEngineUsage(ctx, open)
		}
	}
}

func (r *Recoverer) storeEngineUsage(ctx context.Context, open *fleetv1.OpenRequest) {
	if open.GetFinished() || !r.config.Engines.ReportsUsage(open.GetUpstream()) {
		return
	}
	report, err := r.config.Engines.Usage(ctx, open.GetUpstream(), open.GetDispatchedAs())
	if err == nil && report.State == upstream.UsageFinished {
		r.config.Store.SetEngineUsage(open.GetRequest(), report.Total())
	}
}
