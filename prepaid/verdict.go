package prepaid

// Verdict is the outcome of a reservation.
type Verdict int

const (
	// Reserved: the request's largest use is set aside.
	Reserved Verdict = iota + 1
	// Exhausted: the account can't cover the request on any node, and won't unless
	// the operators add to it.
	Exhausted
	// ShortHere: this node's part doesn't cover the request now; another node's may,
	// or this one's may soon.
	ShortHere
	// ReportFirst: the node's ceiling covers the request once a report with a higher
	// drawn limit has been acknowledged.
	ReportFirst
)
