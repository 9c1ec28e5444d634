package gather

import "time"

// Policy tells when batches are gathered.
type Policy struct {
	// MinFleetNodes is the least number of nodes of the fleet, this one included, at which any
	// gather, and MinDataCentreNodes the least in a data centre. Fewer append for themselves: the log
	// takes that, and a claim then waits for nobody.
	MinFleetNodes, MinDataCentreNodes int
	// AppendInterval is the least time between the beginnings of two appends of one
	// gatherer. It bounds what a data centre appends in a second.
	AppendInterval time.Duration
	// Timeout is how long a node waits for its gatherer before it appends for itself.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound how long a node then goes on appending for itself;
	// each failure in a row doubles it.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultPolicy returns what docs/design/08-appends.md weighs.
func DefaultPolicy() Policy {
	return Policy{MinFleetNodes: 30, MinDataCentreNodes: 4, AppendInterval: 100 * time.Millisecond, Timeout: time.Second,
		MinBackoff: 5 * time.Second, MaxBackoff: time.Minute}
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
