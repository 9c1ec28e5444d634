package directory

// HoldTokens counts the tokens of a request that is to be opened, if this node's open requests then hold no more than a number of
// tokens. What is held must be released.
func (s *Stats) HoldTokens(tokens, most int64) bool {
	for {
		held := s.heldTokens.Load()
		if tokens > most-held {
			return false
		}
		if s.heldTokens.CompareAndSwap(held, held+tokens) {
			return true
		}
	}
}

// ReleaseTokens releases the tokens of a request that ended.
func (s *Stats) ReleaseTokens(tokens int64) { s.heldTokens.Add(-tokens) }

// HeldTokens returns the tokens of this node's open requests.
func (s *Stats) HeldTokens() int64 { return s.heldTokens.Load() }
