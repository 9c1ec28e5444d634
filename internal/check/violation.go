package check

// Promise is one of the things that must always hold.
type Promise string

// The promises, in the brief's order.
const (
	Overspend    Promise = "spend within budget"
	SpendRight   Promise = "spends only while it has the right"
	BilledOnce   Promise = "billed exactly once"
	WholeAnswer  Promise = "whole answer to the right caller"
	NotRun       Promise = "not run is true"
	AtMostOnce   Promise = "non-idempotent at most once"
	OneHolder    Promise = "no two holders' orders interleave"
	GracefulStop Promise = "planned stop cuts nothing"
	LeavingStays Promise = "no new work for a leaving upstream"
	DeadEngine   Promise = "no work for a dead engine"
	ConfigStays  Promise = "configuration in force and never reverting"
	Recovers     Promise = "fleet serves again by itself"
)

// Promises lists all promises that Check judges.
func Promises() []Promise {
	return []Promise{Overspend, SpendRight, BilledOnce, WholeAnswer, NotRun, AtMostOnce, OneHolder, GracefulStop, LeavingStays, DeadEngine, ConfigStays, Recovers}
}

// Violation is one promise broken in a history.
type Violation struct {
	Promise Promise
	Text    string
	// IDs are what to look for in the time line.
	IDs []string
}

// String returns promise and text.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Text }
