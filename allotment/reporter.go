package allotment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

const (
	// ReportInterval is the interval of reports. Initial limits are several intervals ahead of
	// use.
	ReportInterval = 500 * time.Millisecond
	// idleIntervals is the number of intervals per report of a node without an allocation,
	// unchangedIntervals that of a node whose tokens nobody currently uses: a report would only
	// repeat the last one, and at a hundred nodes most are in this state. An idle node reports
	// nothing but its clock, which tells a starting node whether its own is behind.
	idleIntervals      = 20
	unchangedIntervals = 3
	// reportTimeout bounds one report, so that a dead connection costs one report and not the
	// expiry of the limits; a store in another region that is sixty times slower than usual
	// still answers in time.
	reportTimeout = 700 * time.Millisecond
)

// Reporter writes one incarnation's reports. It is safe for concurrent use.
type Reporter struct {
	share  *prepaid.Share
	topic  keyedlog.Topic
	events *event.Recorder
	key    string
	// predecessorKeys are the report keys of the node's earlier incarnations.
	predecessorKeys []string

	// sem is a binary semaphore that serializes reports.
	sem chan struct{}
	// epoch and failing are guarded by sem.
	epoch   uint64
	failing bool
	// composed counts the composed reports; acked is the number of the newest one whose new
	// limit schedule was acknowledged. Both are written under sem.
	composed, acked atomic.Uint64
}

// NewReporter returns a reporter of a share. predecessorKeys are the report keys of the node's
// earlier incarnations, deleted once a grant shows that they are closed.
func NewReporter(share *prepaid.Share, topic keyedlog.Topic, node, incarnation string, predecessorKeys []string, events *event.Recorder) *Reporter {
	r := &Reporter{share: share, topic: topic, key: reportKey(node, incarnation), predecessorKeys: predecessorKeys, events: events, sem: make(chan struct{}, 1)}
	r.sem <- struct{}{}
	return r
}

// Run reports at intervals until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	skipped := 0
	for {
		if skipped++; skipped >= r.intervals() {
			skipped = 0
			_ = r.Report(ctx) // logged in Report; the next report retries
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// intervals is the number of ticks from one report to the next.
func (r *Reporter) intervals() int {
	switch {
	case !r.share.Unchanged():
		return 1
	case r.share.Reportable():
		return unchangedIntervals
	default:
		return idleIntervals
	}
}

// Report returns once a report that was composed after the call is acknowledged. Concurrent
// calls share one. When reports from a region other than the store's were written one after the
// other, each took 70 ms, and a prompt that waited for its turn was late by up to 1.5 s (one in
// twenty of the late ones, on a grown fleet).
func (r *Reporter) Report(ctx context.Context) error {
	previous := r.composed.Load()
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.sem:
	}
	defer func() { r.sem <- struct{}{} }()
	if r.acked.Load() > previous {
		return nil
	}
	err := r.reportFresh(ctx)
	r.logTransition(err)
	return err
}

// reportFresh writes until the store holds a new limit schedule. A report that only repeats one
// would leave a request waiting whose tokens exceed it. Caller holds sem.
func (r *Reporter) reportFresh(ctx context.Context) error {
	for fresh := false; !fresh; {
		var err error
		if fresh, err = r.write(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// write composes and writes one report. Caller holds sem.
func (r *Reporter) write(ctx context.Context) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	number := r.composed.Add(1)
	report, fresh := r.share.Compose()
	value, err := encode(&report)
	if err != nil {
		return false, errors.Trace(err)
	}
	records := []keyedlog.Record{{Key: r.key, Value: value}}
	deletePredecessors := r.share.Granted() && len(r.predecessorKeys) > 0
	if deletePredecessors {
		for _, key := range r.predecessorKeys {
			records = append(records, keyedlog.Record{Key: key, Deleted: true})
		}
	}
	r.epoch++
	if err := r.topic.Append(ctx, keyedlog.Fence{Producer: r.key, Epoch: r.epoch}, records...); err != nil {
		return false, errors.Trace(err)
	}
	r.share.Acknowledge()
	if fresh {
		r.acked.Store(number)
	}
	if deletePredecessors {
		r.predecessorKeys = nil
	}
	return fresh, nil
}

// logTransition logs when reports begin to fail or recover. Caller holds sem.
func (r *Reporter) logTransition(err error) {
	switch {
	case err != nil && !r.failing:
		r.failing = true
		r.events.Record(event.LogUnreachable, "topic", "spend", "error", err)
	case err == nil && r.failing:
		r.failing = false
		r.events.Record(event.LogReachable, "topic", "spend")
	}
}
