package prepaid

import (
	"sync"
	"time"
)

// Share is the part of every client account that one incarnation of a node may use. It is safe
// for concurrent use.
type Share struct {
	settings Settings
	clocks   Clocks
	holder   Holder

	// leads are the other nodes' clocks that are ahead of this one's.
	leads clockLeads

	mu           sync.Mutex
	usages       map[string]*usage
	predecessors []FinalUsage
	appliedEpoch uint64
	ended        bool
	// shortfallAt is when this node last couldn't cover a request; zero if never.
	shortfallAt time.Duration
	// acked is the last acknowledged limit schedule, latest the newest one. The store may hold
	// either, so the lower limit of the two applies.
	acked, latest limitSchedule
	// unacked is set while latest isn't acknowledged.
	unacked bool
	// reported is set once any report was acknowledged. ackedEpoch is the grant epoch in the last
	// acknowledged report, composedEpoch the one in the newest report.
	reported                  bool
	ackedEpoch, composedEpoch uint64
}

// Holder is the incarnation that a share belongs to.
type Holder struct {
	Node, Region, Incarnation string
	// Capacity is the capacity of the instance, in hundredths of a usual one.
	Capacity int
	// BootID identifies the instance's boot.
	BootID string
	// Listed reports whether callers are sent to the node.
	Listed func() bool
}

// NewShare returns a share without any allocation.
func NewShare(settings Settings, clocks Clocks, holder Holder) *Share {
	s := &Share{settings: settings, clocks: clocks, holder: holder, usages: make(map[string]*usage)}
	s.acked = limitSchedule{base: clocks.Read(), ttl: settings.LimitTTL}
	s.latest = s.acked
	return s
}

// SetPredecessors sets the final usage of the node's earlier incarnations, as FinalUsages
// derives it from the store. It must be called before the first report.
func (s *Share) SetPredecessors(predecessors []FinalUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.predecessors = predecessors
}

// SeedDemand takes the demand in the last report of an earlier incarnation for this one's until its
// own callers show theirs: after a restart most of them come back. Without it, a restarted fleet
// splits its accounts evenly, and the nodes with most callers run short in its first seconds.
func (s *Share) SeedDemand(last Report) {
	now := s.clocks.Boot.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range last.Lines {
		if u := s.usage(l.Account); !u.demand.started && l.DemandRate > 0 {
			u.demand.seed(float64(l.DemandRate), now, s.settings.RateWindow)
		}
	}
}

// Reserve reserves the most tokens that a request can use. prepaid is the account's prepaid
// total by the configuration in force.
func (s *Share) Reserve(account string, tokens, prepaid int64) Outcome {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(account)
	u.addDemand(tokens, prepaid, now.Boot, s.settings.RateWindow)
	return s.reserve(u, now, tokens, prepaid)
}

// ReserveAgain is Reserve for a request that was told to wait for a report; its demand is counted
// already.
func (s *Share) ReserveAgain(account string, tokens, prepaid int64) Outcome {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserve(s.usage(account), now, tokens, prepaid)
}

// reserve reserves tokens at a clock reading. Caller holds mu.
func (s *Share) reserve(u *usage, now ClockReading, tokens, prepaid int64) Outcome {
	if u.deferred(tokens, prepaid) {
		if u.hasRemaining && tokens > u.remaining {
			return Exhausted
		}
		return Deferred
	}
	if u.used()+tokens <= s.limit(u, now) && !s.ended {
		u.reserved += tokens
		return Reserved
	}
	if u.hasRemaining && tokens > u.remaining+(prepaid-u.prepaid) {
		return Exhausted
	}
	if u.used()+tokens <= u.ceiling && !s.ended && s.canReport(now) {
		u.blocked += tokens
		return ReportRequired
	}
	s.shortfallAt = now.Boot
	return Insufficient
}

// ShortfallWithin reports whether the node failed to cover a request of its own within the last
// d.
func (s *Share) ShortfallWithin(d time.Duration) bool {
	now := s.clocks.Boot.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shortfallAt != 0 && now-s.shortfallAt < d
}

// Partitioned reports whether the node can't currently report to the store.
func (s *Share) Partitioned() bool {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.canReport(now)
}

// Unchanged reports whether a report would repeat the last acknowledged one: nothing was used
// since, nothing is reserved, no ceiling was raised, and demand is negligible. A node without an
// allocation may stay in this state without ever being granted anything.
func (s *Share) Unchanged() bool {
	now := s.clocks.Boot.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.usages {
		u.demand.decay(now, s.settings.RateWindow)
		if !u.unchanged() {
			return false
		}
	}
	return s.reported && !s.unacked
}

// ownDemandTime is how many seconds of its own callers' demand a lender keeps.
const ownDemandTime = 250 * time.Millisecond

// Lend is Reserve for another node's request. It keeps what this node's own callers need within
// ownDemandTime. If the borrower has no allocation of the account, the request counts as this
// node's demand, so that nodes with regular borrowers are granted more.
func (s *Share) Lend(account string, tokens int64, borrowerHasAllocation bool) Outcome {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(account)
	u.demand.decay(now.Boot, s.settings.RateWindow)
	kept := u.ownDemand()
	if u.ceiling > 0 && !borrowerHasAllocation {
		u.demand.add(tokens, now.Boot, s.settings.RateWindow)
	}
	if s.ended || u.deferred(tokens, u.prepaid) || u.used()+tokens+kept > u.ceiling {
		return Insufficient
	}
	if u.used()+tokens > s.limit(u, now) {
		if !s.canReport(now) {
			return Insufficient
		}
		u.blocked += tokens
		return ReportRequired
	}
	u.reserved += tokens
	return Reserved
}

// Lendable returns how many tokens the node could still lend.
func (s *Share) Lendable(account string) int64 {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(account)
	u.demand.decay(now.Boot, s.settings.RateWindow)
	limit := u.ceiling
	if !s.canReport(now) {
		limit = s.limit(u, now)
	}
	return max(0, limit-u.used()-u.ownDemand())
}

// canReport reports whether a report is likely to be acknowledged soon: the last one was, or is
// still in flight. Without the store, a caller or borrower that waited for a report would lose
// the time in which another node could serve it. Caller holds mu.
func (s *Share) canReport(now ClockReading) bool {
	return !s.unacked || now.Boot-s.acked.base.Boot <= growthDelay
}

// limit returns what the incarnation may currently use of an account. Caller holds mu.
func (s *Share) limit(u *usage, now ClockReading) int64 {
	return min(s.acked.limit(u.acked, u.ceiling, now), s.latest.limit(u.latest, u.ceiling, now))
}

// Settle ends a reservation of which spent tokens were used. Use above the reservation was
// never reserved and is capped to it.
func (s *Share) Settle(account string, tokens, spent int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(account)
	u.reserved -= tokens
	u.spent += min(spent, tokens)
}

// Compose makes the next report and binds the share to it before anyone sees it: the report may
// take effect even if its acknowledgement is lost. fresh reports whether it carries a new limit
// schedule. A schedule is repeated until it is acknowledged: each new one would begin with low
// limits again, and a node without the store would never get beyond them.
func (s *Share) Compose() (r Report, fresh bool) {
	now := s.clocks.Read()
	listed := s.holder.Listed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh = !s.unacked; fresh {
		s.renewLimits(now)
	}
	r = Report{
		Node: s.holder.Node, Region: s.holder.Region, Capacity: s.holder.Capacity, Listed: listed, Incarnation: s.holder.Incarnation, BootID: s.holder.BootID,
		SentTimeMs: now.Wall.Milliseconds(), StartBootMs: s.latest.base.Boot.Milliseconds(),
		StartTimeMs: s.latest.base.Wall.Milliseconds(), LimitTTLMs: s.latest.ttl.Milliseconds(),
		AppliedEpoch: s.appliedEpoch, Ended: s.ended, Predecessors: s.predecessors, ClockLeadsMs: s.leads.recent(now.Boot),
	}
	s.composedEpoch = s.appliedEpoch
	for name, u := range s.usages {
		if u.idle() {
			continue
		}
		u.demand.decay(now.Boot, s.settings.RateWindow)
		r.Lines = append(r.Lines, ReportLine{Account: name, Spent: u.spent, Reserved: u.reserved,
			InitialLimit: u.latest.initial, Growth: u.latest.growth, Ceiling: u.ceiling, DemandRate: int64(u.demand.rate),
			DemandBySize: u.sizeRates(now.Boot, s.settings.RateWindow)})
	}
	return r, fresh
}

// ObserveClock records the wall-clock time that a record of another node bears.
func (s *Share) ObserveClock(node string, wall time.Duration) {
	s.leads.observe(node, wall, s.clocks.Read())
}

// renewLimits starts a new limit schedule. Caller holds mu.
func (s *Share) renewLimits(now ClockReading) {
	s.unacked = true
	// Reports have millisecond resolution; the share uses the same values.
	base := ClockReading{Boot: now.Boot.Truncate(time.Millisecond), Wall: now.Wall.Truncate(time.Millisecond)}
	s.latest = limitSchedule{base: base, ttl: s.settings.LimitTTL}
	for _, u := range s.usages {
		u.demand.decay(now.Boot, s.settings.RateWindow)
		u.latest = limitRamp{}
		if !u.idle() {
			u.latest = u.limitRamp(s.settings)
		}
		u.blocked = 0
		u.reportedSpent, u.reportedCeiling = u.spent, u.ceiling
	}
}

// Acknowledge puts the newest limit schedule in force. Only the newest composed report may be
// acknowledged.
func (s *Share) Acknowledge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unacked, s.reported = false, true
	s.acked, s.ackedEpoch = s.latest, s.composedEpoch
	for _, u := range s.usages {
		u.acked = u.latest
	}
}

// Apply applies a grant and reports whether it was new. A ceiling below the current use is
// applied as the current use.
func (s *Share) Apply(g Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.Incarnation != s.holder.Incarnation || g.Epoch <= s.appliedEpoch {
		return false
	}
	s.appliedEpoch = g.Epoch
	// The allocator closes a node's earlier incarnations before it grants to a new one.
	s.predecessors = nil
	for _, gl := range g.Lines {
		u := s.usage(gl.Account)
		u.ceiling = max(gl.Ceiling, u.used())
		u.setRemaining(gl)
	}
	return true
}

// SetRemaining records what the fleet could still use of an account and which requests it admits,
// as announced in a grant to any node.
func (s *Share) SetRemaining(line GrantLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage(line.Account).setRemaining(line)
}

// HasAllocation reports whether the node has an allocation of an account.
func (s *Share) HasAllocation(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage(account).ceiling > 0
}

// InUse reports whether the node holds unused tokens of any account, or recent callers wanted
// some.
func (s *Share) InUse() bool {
	now := s.clocks.Boot.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.usages {
		u.demand.decay(now, s.settings.RateWindow)
		if u.ceiling > u.used() || u.demand.rate >= minReportedRate {
			return true
		}
	}
	return false
}

// Reportable reports whether the share has anything to report: an allocation, use or demand, or a
// grant whose receipt isn't reported yet.
func (s *Share) Reportable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.usages {
		if !u.idle() {
			return true
		}
	}
	return s.appliedEpoch != s.ackedEpoch
}

// End permanently forbids new reservations. Once nothing is reserved, the next report returns
// all unused tokens.
func (s *Share) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// Granted reports whether any grant has arrived.
func (s *Share) Granted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appliedEpoch > 0
}

// AccountStatus is an account's state on this node, for logs.
type AccountStatus struct {
	Spent, Reserved, Limit, Ceiling, Remaining int64
	// MaxRequest is the largest request that is admitted, zero if all are.
	MaxRequest int64
	// LimitAge is the time since the start of the newest limit schedule.
	LimitAge time.Duration
}

// Status returns an account's state on this node.
func (s *Share) Status(account string) AccountStatus {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(account)
	return AccountStatus{Spent: u.spent, Reserved: u.reserved, Limit: s.limit(u, now), Ceiling: u.ceiling,
		Remaining: u.remaining, MaxRequest: u.maxRequest, LimitAge: now.Boot - s.latest.base.Boot}
}

func (s *Share) usage(account string) *usage {
	u, ok := s.usages[account]
	if !ok {
		u = &usage{}
		s.usages[account] = u
	}
	return u
}
