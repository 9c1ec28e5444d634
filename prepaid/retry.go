package prepaid

import "time"

// Shortage describes why the tokens of a request could not be reserved although its account is not
// exhausted.
type Shortage struct {
	// Asked reports that other nodes were asked, or had just been asked for no more. Those that don't
	// answer are as little use to a caller who comes back at once: often this node's own link is
	// saturated, and callers who send everything again make it worse.
	Asked bool
	// Partitioned reports that this node can't report to the store, so that it is granted nothing.
	Partitioned bool
}

const (
	// otherNodeDelay is the retry delay if no other node is known to hold tokens of the account: the
	// node that the caller picks next may know more.
	otherNodeDelay = 150 * time.Millisecond
	// nextGrantDelay is the time until a node that runs short holds a new grant: a report, a round
	// of the planner and a read.
	nextGrantDelay = time.Second
	// partitionedDelay is the retry delay while no grant can arrive. Partitions last seconds, and
	// open requests return what they didn't use. Callers that came back after a second were refused
	// again, and had then used up their retries.
	partitionedDelay = 3 * time.Second
	// deferredDelay is the retry delay of a request for which an account near its end has nothing
	// left: only a top-up or a fall of the demand of smaller requests changes that.
	deferredDelay = 5 * time.Second
	// retryJitter is the fraction of a delay by which callers are spread to either side, so that
	// those refused together don't come back together.
	retryJitter = 0.3
)

// RetryAfter returns when a refused caller should retry; random is a number from 0 to 1.
func (s Shortage) RetryAfter(random float64) time.Duration {
	delay := nextGrantDelay
	switch {
	case !s.Asked:
		delay = otherNodeDelay
	case s.Partitioned:
		delay = partitionedDelay
	}
	return jitter(delay, random)
}

// DeferredRetryAfter returns when the caller of a deferred request should retry; random is a number
// from 0 to 1.
func DeferredRetryAfter(random float64) time.Duration { return jitter(deferredDelay, random) }

func jitter(delay time.Duration, random float64) time.Duration {
	return time.Duration(float64(delay) * (1 + retryJitter*(2*random-1)))
}
