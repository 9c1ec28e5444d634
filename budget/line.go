package budget

// Line is the folded state of one budget, in tokens.
type Line struct {
	Budget  string
	Prepaid uint64
	// Pool is what no incarnation holds.
	Pool uint64
	// Spent is what was settled, by incarnations already released too.
	Spent uint64
	// Shares is what incarnations hold, by incarnation.
	Shares map[string]*Share
	// Lost is what was written off: no node could tell whether it was spent.
	Lost uint64
	// TopUps counts the top-ups folded.
	TopUps uint64
}

// Remaining is what isn't settled yet: the pool and what incarnations hold.
func (l *Line) Remaining() uint64 {
	left := l.Pool
	for _, share := range l.Shares {
		left += share.Remaining()
	}
	return left
}

// Conserved tells whether every token prepaid is in exactly one place: the pool, a
// share, spent by an incarnation since released, or written off.
func (l *Line) Conserved() bool {
	held, spentByHolders := uint64(0), uint64(0)
	for _, share := range l.Shares {
		if share.Spent > share.Granted {
			return false
		}
		held += share.Granted
		spentByHolders += share.Spent
	}
	return l.Spent >= spentByHolders && l.Prepaid == l.Pool+held+(l.Spent-spentByHolders)+l.Lost
}

func (l *Line) release(tokens uint64) { l.Pool += tokens }

func (l *Line) writeOff(tokens uint64) { l.Lost += tokens }

// Share is the folded state of one incarnation's part of a budget, in tokens.
type Share struct {
	Granted uint64
	Spent   uint64
}

// Remaining is what the incarnation was granted and hasn't settled.
func (s *Share) Remaining() uint64 { return s.Granted - s.Spent }

func (l *Line) share(incarnation string) *Share {
	share := l.Shares[incarnation]
	if share == nil {
		share = &Share{}
		l.Shares[incarnation] = share
	}
	return share
}

func (l *Line) clone() Line {
	c := *l
	c.Shares = make(map[string]*Share, len(l.Shares))
	for incarnation, share := range l.Shares {
		copied := *share
		c.Shares[incarnation] = &copied
	}
	return c
}
