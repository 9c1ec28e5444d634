package membership

// ChangeKind is what happened to a member.
type ChangeKind int

// The kinds of changes.
const (
	Joined ChangeKind = iota
	Suspected
	Gone
	Replaced
	Stalled
)

// Change is one decision, for the time line.
type Change struct {
	Kind        ChangeKind
	Incarnation string
}

// TakeChanges returns what happened since it was called last.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Table) note(kind ChangeKind, incarnation string) {
	t.changes = append(t.changes, Change{Kind: kind, Incarnation: incarnation})
}
