package gather

import "time"

// Policy tells when batches are gathered.
type Policy struct {
	// Fleet is the least number of nodes of the fleet, this one included, at which any
	// gather, and From the least in a data centre. Fewer append for themselves: the log
	// takes that, and a claim then waits for nobody.
	Fleet, From int
	// Interval is the least time between the beginnings of two appends of one
	// gatherer. It bounds what a data centre appends in a second.
	Interval time.Duration
	// Answer is how long a node waits for its gatherer before it appends for itself.
	Answer time.Duration
	// LeastRest and MostRest bound how long a node then goes on appending for itself;
	// each failure in a row doubles it.
	LeastRest, MostRest time.Duration
}

// DefaultPolicy returns what docs/design/08-appends.md weighs.
func DefaultPolicy() Policy {
	return Policy{Fleet: 30, From: 4, Interval: 100 * time.Millisecond, Answer: time.Second,
		LeastRest: 5 * time.Second, MostRest: time.Minute}
}

const (
	// maxBatch is the largest batch that is handed on, in bytes; a larger one saves
	// nothing by company.
	maxBatch = 256 << 10
	// maxRecord is from where on a gathered record is closed, in bytes.
	maxRecord = 1 << 20
	// maxWaiting bounds what a gatherer holds for others, in bytes.
	maxWaiting = 8 << 20
)
