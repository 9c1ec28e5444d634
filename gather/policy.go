package gather

import "time"

// Policy configures when batches are gathered.
type Policy struct {
	// MinFleetNodes and MinDataCentreNodes are the minimum numbers of nodes, this one
	// included, of the fleet and of a data centre for its nodes to gather. With fewer,
	// each node appends directly: the log can take that load, and no claim has to wait
	// for another node.
	MinFleetNodes, MinDataCentreNodes int
	// AppendInterval is the minimum time between the starts of two appends of one
	// gatherer. It limits a data centre's appends per second.
	AppendInterval time.Duration
	// Timeout is how long a node waits for its gatherer before it appends directly.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound how long a node keeps appending directly after a
	// failure of its gatherer; each consecutive failure doubles the time.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultPolicy returns the policy that docs/design/08-appends.md gives the reasons for.
func DefaultPolicy() Policy {
	return Policy{MinFleetNodes: 30, MinDataCentreNodes: 4, AppendInterval: 100 * time.Millisecond, Timeout: time.Second,
		MinBackoff: 5 * time.Second, MaxBackoff: time.Minute}
}

const (
	// maxSharedBatchBytes is the largest batch that is forwarded, in bytes; sharing a record
	// gains nothing for a larger one.
	maxSharedBatchBytes = 256 << 10
	// fullRecordBytes is the size in bytes at which no more batches join a record.
	fullRecordBytes = 1 << 20
	// maxQueuedBytes bounds the batches in a gatherer's queue, in bytes.
	maxQueuedBytes = 8 << 20
)
