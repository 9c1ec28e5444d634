package prepaid

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

// Share is the part of every client account that one incarnation of a node may use. It
// is safe for concurrent use.
type Share struct {
	settings    Settings
	clock       bootclock.Clock
	node        string
	incarnation string
	region      string
	bootID      string

	mu           sync.Mutex
	lines        map[string]*line
	predecessors []Closing
	seenEpoch    uint64
	ended        bool
	// lastAck is when the last acknowledged report was made.
	lastAck time.Duration
	// extended is when a report last put off the opening of the reserve.
	extended time.Duration
	// reserveAt is the latest opening of the reserve that any report named. Using the
	// reserve earlier would make a report of it false.
	reserveAt time.Duration
}

// NewShare returns a share that holds nothing. predecessors are the node's earlier
// incarnations, as Predecessors read them from the store.
func NewShare(settings Settings, clock bootclock.Clock, node, region, incarnation, bootID string, predecessors []Closing) *Share {
	return &Share{
		settings: settings, clock: clock, node: node, region: region, incarnation: incarnation, bootID: bootID,
		lines: make(map[string]*line), predecessors: predecessors,
		lastAck: clock.Now(), reserveAt: clock.Now() + settings.ReserveAfter,
	}
}

// Reserve sets aside the most tokens that a request can use. prepaid is what the
// account has prepaid by the configuration in force.
func (s *Share) Reserve(account string, tokens, prepaid int64) Verdict {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.demand(tokens, now, s.settings.RateWindow)
	if l.used()+tokens <= s.limit(l, now) && !s.ended {
		l.held += tokens
		return Reserved
	}
	if l.hasLeft && tokens > l.left+(prepaid-l.prepaid) {
		return Exhausted
	}
	if l.used()+tokens <= l.ceiling && !s.ended {
		l.wish = max(l.wish, tokens)
		return ReportFirst
	}
	return ShortHere
}

// lendSpare is how long a lender keeps enough for its own callers.
const lendSpare = 250 * time.Millisecond

// Lend is Reserve for another node's request. It leaves what this node's own callers
// need within a second. Where the borrower holds nothing of the account it counts as this
// node's demand, so that the nodes which others always borrow from are granted more.
func (s *Share) Lend(account string, tokens int64, borrowerHolds bool) Verdict {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.decay(now, s.settings.RateWindow)
	spare := l.ownNeed()
	if l.ceiling > 0 && !borrowerHolds {
		l.demand(tokens, now, s.settings.RateWindow)
	}
	if s.ended || l.used()+tokens+spare > l.ceiling {
		return ShortHere
	}
	if l.used()+tokens > s.limit(l, now) {
		l.wish = max(l.wish, tokens)
		return ReportFirst
	}
	l.held += tokens
	return Reserved
}

// Spare returns how many tokens the node could still lend.
func (s *Share) Spare(account string) int64 {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.decay(now, s.settings.RateWindow)
	return max(0, l.ceiling-l.used()-l.ownNeed())
}

// limit is what the incarnation may use now. Caller holds mu.
func (s *Share) limit(l *line, now time.Duration) int64 {
	if now >= s.reserveAt {
		return l.ceiling
	}
	return min(l.ceiling, l.drawn)
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
// report may take effect even if its acknowledgement is lost, so until then the lower
// of the old and the new drawn limit is in force. storeSeen tells that the store answered
// a reading just now.
func (s *Share) Compose(storeSeen bool) Report {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.lastAck <= s.settings.ExtendWithin || storeSeen && now-s.extended >= s.settings.ReopenAfter {
		s.reserveAt = max(s.reserveAt, now+s.settings.ReserveAfter)
		s.extended = now
	}
	r := Report{
		Node: s.node, Region: s.region, Incarnation: s.incarnation, BootID: s.bootID,
		SentAtMs: now.Milliseconds(), ReserveAtMs: s.reserveAt.Milliseconds(),
		SeenEpoch: s.seenEpoch, Ended: s.ended, Predecessors: s.predecessors,
	}
	for name, l := range s.lines {
		if l.idle() {
			continue
		}
		l.decay(now, s.settings.RateWindow)
		l.pending = l.wantDrawn(s.settings)
		l.drawn = min(l.drawn, l.pending)
		l.wish = 0
		r.Lines = append(r.Lines, ReportLine{Account: name, Spent: l.spent, Held: l.held,
			Drawn: l.pending, Ceiling: l.ceiling, Rate: int64(l.rate)})
	}
	return r
}

// Acknowledge puts the drawn limits of a report in force. Only the newest composed
// report may be acknowledged.
func (s *Share) Acknowledge(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAck = time.Duration(r.SentAtMs) * time.Millisecond
	for _, rl := range r.Lines {
		s.line(rl.Account).drawn = rl.Drawn
	}
}

// Apply takes a grant over and tells whether it was news. A lower ceiling than what is
// already in use takes effect down to the use.
func (s *Share) Apply(g Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.Incarnation != s.incarnation || g.Epoch <= s.seenEpoch {
		return false
	}
	s.seenEpoch = g.Epoch
	// The allocator closes a node's earlier incarnations before it grants to a new one.
	s.predecessors = nil
	for _, gl := range g.Lines {
		l := s.line(gl.Account)
		l.ceiling = max(gl.Ceiling, l.used())
		l.drawn = min(l.drawn, l.ceiling)
		l.left, l.prepaid, l.hasLeft = gl.Left, gl.Prepaid, true
	}
	return true
}

// NoteLeft takes over what the fleet could still use of an account, as a grant to any
// node tells it.
func (s *Share) NoteLeft(account string, left, prepaid int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	l.left, l.prepaid, l.hasLeft = left, prepaid, true
}

// Holds tells whether the node has a part of an account.
func (s *Share) Holds(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line(account).ceiling > 0
}

// Holding tells whether the share has anything to report.
func (s *Share) Holding() bool {
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

// Standing is an account's figures on this node, for logs.
type Standing struct {
	Spent, Held, Limit, Ceiling, Left int64
	// ReserveIn is how long until the reserve opens; negative once it is open.
	ReserveIn time.Duration
}

// Standing returns an account's figures.
func (s *Share) Standing(account string) Standing {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(account)
	return Standing{Spent: l.spent, Held: l.held, Limit: s.limit(l, now), Ceiling: l.ceiling,
		Left: l.left, ReserveIn: s.reserveAt - now}
}

func (s *Share) line(account string) *line {
	l, ok := s.lines[account]
	if !ok {
		l = &line{rateAt: s.clock.Now()}
		s.lines[account] = l
	}
	return l
}
