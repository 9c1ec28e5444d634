package prepaid

import (
	"sync"
	"time"
)

// Share is the part of every client account that one incarnation of a node may use. It
// is safe for concurrent use.
type Share struct {
	settings Settings
	clocks   Clocks
	holder   Holder

	mu           sync.Mutex
	lines        map[string]*line
	predecessors []FinalUsage
	seenEpoch    uint64
	// granted is closed with the first grant.
	granted chan struct{}
	ended   bool
	// shortAt is when a request was last not covered here; zero if never.
	shortAt time.Duration
	// acked is the last acknowledged promise, composed the newest that was made. Both may
	// be what the store holds, so the lower limit of the two is in force.
	acked, composed promise
	// open tells that composed isn't acknowledged.
	open bool
}

// Holder is the incarnation that a share belongs to.
type Holder struct {
	Node, Region, Incarnation string
	// Capacity is what the instance can carry, in hundredths of a usual one.
	Capacity int
	// BootID names the instance's boot.
	BootID string
}

// NewShare returns a share that holds nothing.
func NewShare(settings Settings, clocks Clocks, holder Holder) *Share {
	s := &Share{settings: settings, clocks: clocks, holder: holder, lines: make(map[string]*line), granted: make(chan struct{})}
	s.acked = promise{from: clocks.Read(), opensAfter: settings.LimitTTL}
	s.composed = s.acked
	return s
}

// SetPredecessors tells the share what the node's earlier incarnations used, as Predecessors read
// it from the store. It comes before the first report.
func (s *Share) SetPredecessors(predecessors []FinalUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.predecessors = predecessors
}

// Reserve sets aside the most tokens that a request can use. prepaid is what the
// account has prepaid by the configuration in force.
func (s *Share) Reserve(account string, tokens, prepaid int64) Outcome {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.demand(tokens, now.Boot, s.settings.RateWindow)
	if l.used()+tokens <= s.limit(l, now) && !s.ended {
		l.held += tokens
		return Reserved
	}
	if l.hasLeft && tokens > l.left+(prepaid-l.prepaid) {
		return Exhausted
	}
	if l.used()+tokens <= l.ceiling && !s.ended && s.inTouch(now) {
		l.wish = max(l.wish, tokens)
		return ReportRequired
	}
	s.shortAt = now.Boot
	return Insufficient
}

// ShortfallWithin tells whether the node couldn't cover a request of its own within a time.
func (s *Share) ShortfallWithin(d time.Duration) bool {
	now := s.clocks.Boot.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shortAt != 0 && now-s.shortAt < d
}

// Unchanged tells that a report would say what the last acknowledged one did: nothing was used
// since, nothing is open, no ceiling was raised, and there are no callers to speak of.
func (s *Share) Unchanged() bool {
	now := s.clocks.Boot.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		l.decay(now, s.settings.RateWindow)
		if !l.calm() {
			return false
		}
	}
	return s.seenEpoch > 0 && !s.open
}

// lendSpare is how long a lender keeps enough for its own callers.
const lendSpare = 250 * time.Millisecond

// Lend is Reserve for another node's request. It leaves what this node's own callers
// need within lendSpare. Where the borrower holds nothing of the account it counts as this
// node's demand, so that the nodes which others always borrow from are granted more.
func (s *Share) Lend(account string, tokens int64, borrowerHolds bool) Outcome {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.decay(now.Boot, s.settings.RateWindow)
	spare := l.ownNeed()
	if l.ceiling > 0 && !borrowerHolds {
		l.demand(tokens, now.Boot, s.settings.RateWindow)
	}
	if s.ended || l.used()+tokens+spare > l.ceiling {
		return Insufficient
	}
	if l.used()+tokens > s.limit(l, now) {
		if !s.inTouch(now) {
			return Insufficient
		}
		l.wish = max(l.wish, tokens)
		return ReportRequired
	}
	l.held += tokens
	return Reserved
}

// Lendable returns how many tokens the node could still lend.
func (s *Share) Lendable(account string) int64 {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.decay(now.Boot, s.settings.RateWindow)
	limit := l.ceiling
	if !s.inTouch(now) {
		limit = s.limit(l, now)
	}
	return max(0, limit-l.used()-l.ownNeed())
}

// inTouch tells whether a report would soon be acknowledged, for all that is known: the
// last one was, or is under way. Without the store, waiting for one costs a caller or a
// borrower the time in which another node would serve it. Caller holds mu.
func (s *Share) inTouch(now ClockReading) bool {
	return !s.open || now.Boot-s.acked.from.Boot <= growsAfter
}

// limit is what the incarnation may use of a line now. Caller holds mu.
func (s *Share) limit(l *line, now ClockReading) int64 {
	return min(s.acked.limit(l.acked, l.ceiling, now), s.composed.limit(l.composed, l.ceiling, now))
}

// Settle ends a reservation of tokens of which spent were used; spent above the
// reservation would be use that was never set aside and is cut to it.
func (s *Share) Settle(account string, tokens, spent int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.held -= tokens
	l.spent += min(spent, tokens)
}

// Compose makes the next report and, before anyone sees it, holds the share to it: the
// report may take effect even if its acknowledgement is lost. fresh tells that it carries a
// new promise. Until one is acknowledged it is only repeated: each new one would begin with
// low limits again, and a node without the store would never get beyond them.
func (s *Share) Compose() (r Report, fresh bool) {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh = !s.open; fresh {
		s.promise(now)
	}
	r = Report{
		Node: s.holder.Node, Region: s.holder.Region, Capacity: s.holder.Capacity, Incarnation: s.holder.Incarnation, BootID: s.holder.BootID,
		SentTimeMs: now.Wall.Milliseconds(), StartBootMs: s.composed.from.Boot.Milliseconds(),
		StartTimeMs: s.composed.from.Wall.Milliseconds(), LimitTTLMs: s.composed.opensAfter.Milliseconds(),
		AppliedEpoch: s.seenEpoch, Ended: s.ended, Predecessors: s.predecessors,
	}
	for name, l := range s.lines {
		if l.idle() {
			continue
		}
		l.decay(now.Boot, s.settings.RateWindow)
		r.Lines = append(r.Lines, ReportLine{Account: name, Spent: l.spent, Reserved: l.held,
			InitialLimit: l.composed.drawn, Growth: l.composed.pace, Ceiling: l.ceiling, DemandRate: int64(l.rate)})
	}
	return r, fresh
}

// promise makes a new promise. Caller holds mu.
func (s *Share) promise(now ClockReading) {
	s.open = true
	// Reports hold milliseconds; the share keeps to the same figures.
	from := ClockReading{Boot: now.Boot.Truncate(time.Millisecond), Wall: now.Wall.Truncate(time.Millisecond)}
	s.composed = promise{from: from, opensAfter: s.settings.LimitTTL}
	for _, l := range s.lines {
		l.decay(now.Boot, s.settings.RateWindow)
		l.composed = pledge{}
		if !l.idle() {
			l.composed = l.pledge(s.settings)
		}
		l.wish = 0
		l.reported, l.promised = l.spent, l.ceiling
	}
}

// Acknowledge puts the newest promise in force. Only the newest composed report may be
// acknowledged.
func (s *Share) Acknowledge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = false
	s.acked = s.composed
	for _, l := range s.lines {
		l.acked = l.composed
	}
}

// Apply takes a grant over and tells whether it was news. A lower ceiling than what is
// already in use takes effect down to the use.
func (s *Share) Apply(g Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.Incarnation != s.holder.Incarnation || g.Epoch <= s.seenEpoch {
		return false
	}
	if s.seenEpoch == 0 {
		close(s.granted)
	}
	s.seenEpoch = g.Epoch
	// The allocator closes a node's earlier incarnations before it grants to a new one.
	s.predecessors = nil
	for _, gl := range g.Lines {
		l := s.line(gl.Account)
		l.ceiling = max(gl.Ceiling, l.used())
		l.left, l.prepaid, l.hasLeft = gl.Remaining, gl.Prepaid, true
	}
	return true
}

// SetRemaining takes over what the fleet could still use of an account, as a grant to any
// node tells it.
func (s *Share) SetRemaining(account string, left, prepaid int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.left, l.prepaid, l.hasLeft = left, prepaid, true
}

// HasAllocation tells whether the node has a part of an account.
func (s *Share) HasAllocation(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line(account).ceiling > 0
}

// InUse tells whether the node has a part of any account, or had callers just now who
// wanted one.
func (s *Share) InUse() bool {
	now := s.clocks.Boot.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		l.decay(now, s.settings.RateWindow)
		if l.ceiling > 0 || l.rate >= 1 {
			return true
		}
	}
	return false
}

// Reportable tells whether the share has anything to report.
func (s *Share) Reportable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		if !l.idle() {
			return true
		}
	}
	return s.seenEpoch == 0 || len(s.predecessors) > 0
}

// End forbids new reservations for good. Once nothing is held, the next report gives
// everything else back.
func (s *Share) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// Granted tells whether any grant has arrived.
func (s *Share) Granted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seenEpoch > 0
}

// FirstGrant returns a channel that is closed once any grant has arrived.
func (s *Share) FirstGrant() <-chan struct{} { return s.granted }

// AccountStatus is an account's figures on this node, for logs.
type AccountStatus struct {
	Spent, Reserved, Limit, Ceiling, Remaining int64
	// LimitAge is how long ago the limits began to grow.
	LimitAge time.Duration
}

// Status returns an account's figures.
func (s *Share) Status(account string) AccountStatus {
	now := s.clocks.Read()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	return AccountStatus{Spent: l.spent, Reserved: l.held, Limit: s.limit(l, now), Ceiling: l.ceiling,
		Remaining: l.left, LimitAge: now.Boot - s.composed.from.Boot}
}

func (s *Share) line(account string) *line {
	l, ok := s.lines[account]
	if !ok {
		l = &line{rateAt: s.clocks.Boot.Now()}
		s.lines[account] = l
	}
	return l
}
