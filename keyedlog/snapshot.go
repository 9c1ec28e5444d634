package keyedlog

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/internal/stall"
)

// snapshotReader reads the newest records and probes the store meanwhile, to detect that it
// does not respond.
//
// A request that reaches an unresponsive store is never answered, even after the store has
// recovered. A node that starts meanwhile would wait for the full timeout of the read,
// seconds after other nodes and the store have recovered. So small probes are sent alongside
// the read: once a probe is answered and the read isn't, the read is considered lost and is
// restarted.
type snapshotReader struct {
	// firstProbe is how long a read may be unanswered before the first probe.
	firstProbe time.Duration
	// probeInterval is the time between probes. Each probe lengthens it, up to
	// maxProbeInterval, so that a large fleet doesn't overload a store during a long outage.
	probeInterval, maxProbeInterval time.Duration
	// probeTimeout bounds the wait for the response to a probe.
	probeTimeout time.Duration
	// grace is how much longer than a probe the read may take to be answered. It doubles
	// with each lost read, so that on a saturated link a read is delayed rather than lost.
	grace time.Duration
}

// probeIntervalGrowth divides the probe interval into the amount added after each probe.
const probeIntervalGrowth = 10

// defaultReader is based on a responsive store answering within a few round trips between
// regions.
var defaultReader = snapshotReader{
	firstProbe:       200 * time.Millisecond,
	probeInterval:    150 * time.Millisecond,
	maxProbeInterval: 500 * time.Millisecond,
	probeTimeout:     350 * time.Millisecond,
	grace:            100 * time.Millisecond,
}

// snapshot is the outcome of one read of the newest records.
type snapshot struct {
	records []Record
	next    int64
	err     error
}

// ReadNewest reads the newest record of each key of a topic. It waits until ctx ends, and
// restarts the read when the store recovers from an outage or the response stalls.
func ReadNewest(ctx context.Context, topic Topic) ([]Record, int64, error) {
	result := defaultReader.read(ctx, topic, stall.NoTimeout)
	return result.records, result.next, result.err
}

// read retries until a response is complete. timeout bounds the time in which no part of one
// arrives.
func (r snapshotReader) read(ctx context.Context, topic Topic, timeout time.Duration) snapshot {
	limited, progress, cancel := stall.WithTimeout(ctx, timeout, timeout)
	defer cancel()
	for {
		result, ok := r.attempt(limited, topic, progress)
		if ok {
			return result
		}
		r.grace *= 2
	}
}

// attempt reads once; it returns false if the read was lost.
func (r snapshotReader) attempt(ctx context.Context, topic Topic, progress func()) (snapshot, bool) {
	readCtx, partArrived, cancel := stall.WithTimeout(ctx, stall.NoTimeout, stallTimeout)
	defer cancel()
	firstPart, done := make(chan struct{}, 1), make(chan snapshot, 1)
	go func() {
		records, next, err := topic.Newest(readCtx, func() {
			partArrived()
			progress()
			select {
			case firstPart <- struct{}{}:
			default:
			}
		})
		done <- snapshot{records, next, err}
	}()
	probeAnswered := r.probeStore(readCtx, topic)
	for {
		select {
		case result := <-done:
			return result, result.err == nil || !stall.TimedOut(readCtx)
		case <-ctx.Done():
			return snapshot{err: context.Cause(ctx)}, true
		case <-firstPart:
			probeAnswered = nil
		case <-probeAnswered:
			return snapshot{}, false
		}
	}
}

// probeStore returns a channel that is closed once a probe was answered and the grace period
// has passed.
func (r snapshotReader) probeStore(ctx context.Context, topic Topic) <-chan struct{} {
	answered := make(chan struct{})
	var once sync.Once
	probe := func() {
		probeCtx, cancel := context.WithTimeout(ctx, r.probeTimeout)
		defer cancel()
		if topic.Probe(probeCtx) == nil && sleep(ctx, r.grace) {
			once.Do(func() { close(answered) })
		}
	}
	go func() {
		interval := r.probeInterval
		for delay := r.firstProbe; sleep(ctx, delay); delay = interval {
			go probe()
			interval = min(r.maxProbeInterval, interval+interval/probeIntervalGrowth)
		}
	}()
	return answered
}

// sleep reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
