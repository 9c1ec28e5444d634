package allotment

import (
	"context"
	"maps"
	"sync"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// reports follows the reports of all nodes. It is not safe for concurrent use.
type reports struct{ partitions []*partitionReports }

func newReports(partitions Partitions, events *event.Recorder) *reports {
	r := &reports{}
	for i, topic := range partitions.topics[:partitions.active] {
		p := &partitionReports{index: i, events: events, newest: make(map[string]prepaid.Report)}
		p.follower = keyedlog.NewFollower(topic, p, keyedlog.Options{Wait: 0, Slack: callTimeout})
		r.partitions = append(r.partitions, p)
	}
	return r
}

// poll reads all partitions once. It fails if none can be read. Without some of them, their nodes'
// last known reports stay in use: the nodes keep what they hold, and the others are still granted
// tokens.
func (r *reports) poll(ctx context.Context) error {
	failed := make([]error, len(r.partitions))
	var polls sync.WaitGroup
	for i, p := range r.partitions {
		polls.Go(func() { failed[i] = p.follower.Poll(ctx) })
	}
	polls.Wait()
	for i, p := range r.partitions {
		p.logTransition(failed[i])
	}
	for _, err := range failed {
		if err == nil {
			return nil
		}
	}
	return errors.Trace(failed[0])
}

// newest returns the newest report of each incarnation by its key.
func (r *reports) newest() map[string]prepaid.Report {
	all := make(map[string]prepaid.Report)
	for _, p := range r.partitions {
		maps.Copy(all, p.newest)
	}
	return all
}

// partitionReports holds the reports in one partition.
type partitionReports struct {
	index    int
	follower *keyedlog.Follower
	events   *event.Recorder
	newest   map[string]prepaid.Report
	failing  bool
}

// logTransition logs when reads begin to fail or recover.
func (p *partitionReports) logTransition(err error) {
	switch {
	case err != nil && !p.failing:
		p.failing = true
		p.events.Record(event.LogUnreachable, "topic", "spend", "partition", p.index, "error", err)
	case err == nil && p.failing:
		p.failing = false
		p.events.Record(event.LogReachable, "topic", "spend", "partition", p.index)
	}
}

// Reset applies the newest reports.
func (p *partitionReports) Reset(records []keyedlog.Record) {
	clear(p.newest)
	p.Apply(records)
}

// Apply applies reports in order.
func (p *partitionReports) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Deleted {
			delete(p.newest, r.Key)
			continue
		}
		report, err := DecodeReport(r.Value)
		if err != nil {
			p.events.Record(event.BatchVoid, "topic", "spend", "key", r.Key, "error", err)
			continue
		}
		p.newest[r.Key] = report
	}
}

// ReadFailed does nothing: poll reports the error.
func (p *partitionReports) ReadFailed(error) {}

// ReadSucceeded does nothing.
func (p *partitionReports) ReadSucceeded(keyedlog.ReadStats) {}
