package prepaid

// Outcome is the outcome of a reservation.
type Outcome int

const (
	// Reserved: the request's largest use is set aside.
	Reserved Outcome = iota + 1
	// Exhausted: the account can't cover the request on any node, and won't unless
	// the operators add to it.
	Exhausted
	// Insufficient: this node's part doesn't cover the request now; another node's may,
	// or this one's may soon.
	Insufficient
	// ReportRequired: the node's ceiling covers the request once a report with a higher
	// drawn limit has been acknowledged.
	ReportRequired
)
