package reach

// Fields returns a change as the fields of a log line.
func (c PathChange) Fields() []any {
	return []any{"address", c.Address, "path", c.Mode.String(), "before", c.From.String(), "peer", c.Peer, "cause", string(c.Cause)}
}

// Fields returns the counts as the fields of a log line that tells whether most paths are lost.
func (s Summary) Fields(lost bool) []any {
	return []any{"lost", lost, "direct", s.Direct, "relayed", s.Relayed, "unreachable", s.Unreachable}
}
