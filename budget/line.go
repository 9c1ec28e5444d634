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
}

// Share is the folded state of one incarnation's part of a budget, in tokens.
type Share struct {
	Granted uint64
	Spent   uint64
}

// Left is what the incarnation was granted and hasn't settled.
func (s *Share) Left() uint64 { return s.Granted - s.Spent }

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
