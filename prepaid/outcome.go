package prepaid

// Outcome is the outcome of a reservation.
type Outcome int

const (
	// Reserved means that the request's maximum use is reserved.
	Reserved Outcome = iota + 1
	// Exhausted means that no node can cover the request, now or later, unless operators top up
	// the account.
	Exhausted
	// Insufficient means that this node's allocation doesn't cover the request now; another
	// node's may, or this one's may soon.
	Insufficient
	// Deferred means that what is left of the account is kept for smaller requests for now.
	Deferred
	// ReportRequired means that the node's ceiling covers the request once a report with a
	// higher initial limit is acknowledged.
	ReportRequired
)
