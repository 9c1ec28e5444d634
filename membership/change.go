package membership

// ChangeKind classifies a membership change.
type ChangeKind int

// The kinds of changes.
const (
	Joined ChangeKind = iota
	Suspected
	Gone
	Replaced
	Stalled
)

// Change is one membership change, to be recorded as an event.
type Change struct {
	Kind        ChangeKind
	Incarnation string
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Table) recordChange(kind ChangeKind, incarnation string) {
	t.changes = append(t.changes, Change{Kind: kind, Incarnation: incarnation})
}
