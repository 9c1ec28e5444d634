package budget

// Line is the ledger's state of one budget, in tokens.
type Line struct {
	Budget  string
	Prepaid uint64
	// Pool is what no incarnation holds.
	Pool uint64
	// Spent is the total settled, including by incarnations already released.
	Spent uint64
	// Shares maps an incarnation to its share.
	Shares map[string]*Share
	// Lost is the total written off because no node could tell whether it was spent.
	Lost uint64
	// TopUps counts the top-ups applied.
	TopUps uint64
}

// Remaining returns the unsettled tokens: the pool plus what incarnations hold.
func (l *Line) Remaining() uint64 {
	total := l.Pool
	for _, share := range l.Shares {
		total += share.Remaining()
	}
	return total
}

// Conserved reports whether every prepaid token is in exactly one place: the pool, a share,
// spent by an incarnation since released, or written off.
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

// Share is the state of one incarnation's part of a budget, in tokens.
type Share struct {
	Granted uint64
	Spent   uint64
}

// Remaining returns the tokens granted to the incarnation that it hasn't settled.
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
