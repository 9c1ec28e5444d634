package check

// Invariant is a property that must hold in every history.
type Invariant string

// The invariants, in the order of the specification.
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

// Invariants lists all invariants that Check verifies.
func Invariants() []Invariant {
	return []Invariant{WithinBudget, SpendRight, BilledOnce, WholeAnswer, NotRun, AtMostOnce, OneHolder, GracefulStop, NoWorkForLeaving, NoWorkForDeadEngine, ConfigNeverReverts, Recovers}
}

// Violation is one invariant that a history violates.
type Violation struct {
	Invariant Invariant
	Text      string
	// IDs are the identifiers to look for in the timeline.
	IDs []string
}

// String returns the invariant and the text.
func (v Violation) String() string { return string(v.Invariant) + ": " + v.Text }
