package directory

// HasAddress reports whether an address belongs to a listed upstream, draining ones included: their
// open requests may still be resumed through other nodes.
func (t *Table) HasAddress(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.entries {
		if u.Address == address {
			return true
		}
	}
	return false
}

// PathChanged drops what requests on the earlier path to an address seemed to tell of its upstream.
func (t *Table) PathChanged(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.entries {
		if u.Address == address {
			u.forgetPath()
		}
	}
}

// forgetPath forgets failures and waits that the path caused: requests that will never be answered
// would look like a long queue, and connections that failed like a failed upstream.
func (s *Stats) forgetPath() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = nil
	s.responseWait = 0
	s.failureScore = 0
	s.backoffUntil, s.consecutiveUnreachable = 0, 0
}
