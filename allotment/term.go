package allotment

import (
	"context"
	"maps"
	"reflect"
	"slices"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// term is one node's time as the planner.
type term struct {
	duty      *Planner
	epoch     uint64
	allocator *prepaid.Allocator
	follower  *keyedlog.Follower
	// reports holds the newest report of each incarnation by its key.
	reports map[string]prepaid.Report
	// written is the ledger as last acknowledged.
	written prepaid.Ledger
}

func (t *term) fence() keyedlog.Fence {
	return keyedlog.Fence{Producer: producer, Epoch: t.epoch}
}

// round reads reports, writes the ledger if it changed and then the grants.
func (t *term) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	prepaidTotals, known := t.duty.fleet.Prepaid()
	if !known {
		return nil
	}
	if err := t.follower.Step(ctx); err != nil {
		return errors.Trace(err)
	}
	t.epoch++
	plan := t.allocator.Round(t.epoch, t.members(), prepaidTotals)
	if err := t.writeLedger(ctx, plan.Ledger); err != nil {
		return errors.Trace(err)
	}
	for _, e := range plan.Closed {
		t.duty.events.Record(event.IncarnationClosed, "member", e.Node, "incarnation", e.Incarnation, "known", e.Bounded, "reported", e.Reported, "counted", e.Counted, "returned", e.Returned)
	}
	return t.writeGrants(ctx, plan.Grants)
}

func (t *term) members() []prepaid.Member {
	var members []prepaid.Member
	for _, key := range slices.Sorted(maps.Keys(t.reports)) {
		r := t.reports[key]
		members = append(members, prepaid.Member{Report: r, Live: t.isLive(&r)})
	}
	return members
}

// isLive tells whether a report's incarnation was heard of lately, or follows one that was.
// Nodes' records are read more rarely than reports: after a power loss the roster holds the
// earlier incarnations for some tenths of a second more, in which nothing would be granted.
func (t *term) isLive(r *prepaid.Report) bool {
	return t.duty.fleet.IsLive(r.Node, r.Incarnation) || slices.ContainsFunc(r.Predecessors, func(c prepaid.FinalUsage) bool {
		return t.duty.fleet.IsLive(r.Node, c.Incarnation)
	})
}

func (t *term) writeLedger(ctx context.Context, ledger prepaid.Ledger) error {
	same := t.written
	same.Epoch = ledger.Epoch
	if reflect.DeepEqual(same, ledger) {
		return nil
	}
	value, err := encode(&ledger)
	if err != nil {
		return errors.Trace(err)
	}
	if err := t.duty.topics.Ledger.Append(ctx, t.fence(), keyedlog.Record{Key: ledgerKey, Value: value}); err != nil {
		return errors.Trace(err)
	}
	t.written = ledger
	return nil
}

func (t *term) writeGrants(ctx context.Context, grants []prepaid.Grant) error {
	if len(grants) == 0 {
		return nil
	}
	var records []keyedlog.Record
	for i := range grants {
		value, err := encode(&grants[i])
		if err != nil {
			return errors.Trace(err)
		}
		records = append(records, keyedlog.Record{Key: grants[i].Node, Value: value})
	}
	if err := t.duty.topics.Grants.Append(ctx, t.fence(), records...); err != nil {
		return errors.Trace(err)
	}
	t.duty.events.Record(event.ShareGranted, "epoch", t.epoch, "nodes", len(grants))
	return nil
}

// reports takes what the follower reads into the term.
type reports term

// Reset takes the newest reports.
func (t *reports) Reset(records []keyedlog.Record) {
	clear(t.reports)
	t.Apply(records)
}

// Apply takes reports in order.
func (t *reports) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Deleted {
			delete(t.reports, r.Key)
			continue
		}
		report, err := DecodeReport(r.Value)
		if err != nil {
			t.duty.events.Record(event.BatchVoid, "topic", "spend", "key", r.Key, "error", err)
			continue
		}
		t.reports[r.Key] = report
	}
}

// Lost does nothing: a failed round ends the term, which logs it.
func (t *reports) Lost(error) {}

// Caught does nothing.
func (t *reports) Caught(keyedlog.Reading) {}
