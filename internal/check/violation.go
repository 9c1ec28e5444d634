package check

// Invariant is one of the things that must always hold.
type Invariant string

// The promises, in the brief's order.
const (
	WithinBudget        Invariant = "spend within budget"
	SpendRight          Invariant = "spends only while it has the right"
	BilledOnce          Invariant = "billed exactly once"
	WholeAnswer         Invariant = "whole answer to the right caller"
	NotRun              Invariant = "not run is true"
	AtMostOnce          Invariant = "non-idempotent at most once"
	OneHolder           Invariant = "no two holders' orders interleave"
	GracefulStop        Invariant = "planned stop cuts nothing"
	NoWorkForLeaving    Invariant = "no new work for a leaving upstream"
	NoWorkForDeadEngine Invariant = "no work for a dead engine"
	ConfigNeverReverts  Invariant = "configuration in force and never reverting"
	Recovers            Invariant = "fleet serves again by itself"
)

// Invariants lists all promises that Check judges.
func Invariants() []Invariant {
	return []Invariant{WithinBudget, SpendRight, BilledOnce, WholeAnswer, NotRun, AtMostOnce, OneHolder, GracefulStop, NoWorkForLeaving, NoWorkForDeadEngine, ConfigNeverReverts, Recovers}
}

// Violation is one promise broken in a history.
type Violation struct {
	Invariant Invariant
	Text      string
	// IDs are what to look for in the time line.
	IDs []string
}

// String returns promise and text.
func (v Violation) String() string { return string(v.Invariant) + ": " + v.Text }
