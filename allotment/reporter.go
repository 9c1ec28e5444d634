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
	// ReportInterval is the interval of reports. Drawn limits run ahead by several of it.
	ReportInterval = 500 * time.Millisecond
	// idleReports is how many intervals a node that holds nothing lets pass for a report,
	// calmReports one that holds tokens which nobody uses now: a report would only repeat
	// the last one, and at a hundred nodes most are so.
	idleReports = 6
	calmReports = 3
	// reportTimeout bounds one report, so that a dead connection costs one report and
	// not the reserve's opening; a store in another region that is sixty times slower
	// than usual still answers within it.
	reportTimeout = 700 * time.Millisecond
)

// Reporter writes one incarnation's reports. It is safe for concurrent use.
type Reporter struct {
	share  *prepaid.Share
	topic  keyedlog.Topic
	events *event.Recorder
	key    string
	// stale are the report keys of the node's earlier incarnations.
	stale []string

	// turn holds the one token of the right to report.
	turn chan struct{}
	// epoch and lost are guarded by turn.
	epoch uint64
	lost  bool
	// begun counts the reports that were composed; kept is the number of the newest one
	// whose new promise was acknowledged. Both are written under turn.
	begun, kept atomic.Uint64
}

// NewReporter returns a reporter of a share. stale are the report keys of the node's
// earlier incarnations, deleted once a grant shows that they are closed.
func NewReporter(share *prepaid.Share, topic keyedlog.Topic, node, incarnation string, stale []string, events *event.Recorder) *Reporter {
	r := &Reporter{share: share, topic: topic, key: reportKey(node, incarnation), stale: stale, events: events, turn: make(chan struct{}, 1)}
	r.turn <- struct{}{}
	return r
}

// Run reports at intervals until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	idle := 0
	for {
		if idle++; idle >= r.interval() {
			idle = 0
			_ = r.Report(ctx) // logged where it fails; the next one repeats it
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// interval is how many ticks may pass between two reports now.
func (r *Reporter) interval() int {
	switch {
	case !r.share.Reportable():
		return idleReports
	case r.share.Unchanged():
		return calmReports
	default:
		return 1
	}
}

// Report returns once a report that was composed after the call is acknowledged. Calls
// that wait at the same time share one: written one after the other, reports from another
// region than the store's took 70 ms each, and a prompt that waited for its turn was late
// by up to 1.5 s (one in twenty that began late, on a grown fleet).
func (r *Reporter) Report(ctx context.Context) error {
	before := r.begun.Load()
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.turn:
	}
	defer func() { r.turn <- struct{}{} }()
	if r.kept.Load() > before {
		return nil
	}
	err := r.report(ctx)
	r.note(err)
	return err
}

// report writes until the store holds a new promise. A report that only repeats one would
// leave a request waiting whose tokens go beyond it. Caller holds the turn.
func (r *Reporter) report(ctx context.Context) error {
	for fresh := false; !fresh; {
		var err error
		if fresh, err = r.write(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// write composes and writes one report. Caller holds the turn.
func (r *Reporter) write(ctx context.Context) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	number := r.begun.Add(1)
	report, fresh := r.share.Compose()
	value, err := encode(&report)
	if err != nil {
		return false, errors.Trace(err)
	}
	records := []keyedlog.Record{{Key: r.key, Value: value}}
	clean := r.share.Granted() && len(r.stale) > 0
	if clean {
		for _, key := range r.stale {
			records = append(records, keyedlog.Record{Key: key, Deleted: true})
		}
	}
	r.epoch++
	if err := r.topic.Append(ctx, keyedlog.Fence{Producer: r.key, Epoch: r.epoch}, records...); err != nil {
		return false, errors.Trace(err)
	}
	r.share.Acknowledge()
	if fresh {
		r.kept.Store(number)
	}
	if clean {
		r.stale = nil
	}
	return fresh, nil
}

// note logs when reports begin or cease to fail. Caller holds the turn.
func (r *Reporter) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.events.Record(event.LogUnreachable, "topic", "spend", "error", err)
	case err == nil && r.lost:
		r.lost = false
		r.events.Record(event.LogReachable, "topic", "spend")
	}
}
