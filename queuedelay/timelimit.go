package queuedelay

import "time"

// ProcessorWaits is how often a request waits for a processor at least: for its connection to be accepted, its bytes to be
// read, its upstream's answer to be read, and that to be written.
const ProcessorWaits = 4

// ProcessorWait returns how long a request waits for a processor in all, where lag is how long what can run waits for its turn.
func ProcessorWait(lag time.Duration) time.Duration { return ProcessorWaits * lag }

// TimeLeft returns how much of a request's time limit is left to the node. The caller's clock began when it sent the request:
// before that arrived it waited on the link, and the answer will, which delay tells; then it waited to be read and handled.
func TimeLeft(limit, waited, delay time.Duration) time.Duration {
	return max(0, limit-waited-delay)
}
