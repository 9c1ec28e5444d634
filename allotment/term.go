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

// term is one node's period as the planner.
type term struct {
	planner   *Planner
	epoch     uint64
	allocator *prepaid.Allocator
	reports   *reports
	// written is the last acknowledged ledger.
	written prepaid.Ledger
}

func (t *term) fence() keyedlog.Fence {
	return keyedlog.Fence{Producer: producerName, Epoch: t.epoch}
}

// round reads reports, writes the ledger if it changed, then writes the grants.
func (t *term) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	prepaidTotals, known := t.planner.fleet.Prepaid()
	if !known {
		return nil
	}
	if err := t.reports.poll(ctx); err != nil {
		return errors.Trace(err)
	}
	t.epoch++
	plan := t.allocator.Round(t.epoch, t.members(), prepaidTotals)
	if err := t.writeLedger(ctx, plan.Ledger); err != nil {
		return errors.Trace(err)
	}
	for _, e := range plan.Closed {
		t.planner.events.Record(event.IncarnationClosed, "member", e.Node, "incarnation", e.Incarnation, "known", e.Bounded, "spent", e.Spent, "reported", e.Reported, "by_clock", e.ByClock, "counted", e.Counted, "returned", e.Returned)
	}
	return t.writeGrants(ctx, plan.Grants)
}

func (t *term) members() []prepaid.Member {
	var members []prepaid.Member
	newest := t.reports.newest()
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		r := newest[key]
		members = append(members, prepaid.Member{Report: r, Live: t.isLive(&r)})
	}
	return members
}

// isLive reports whether a report's incarnation, or one that it succeeds, was heard from
// recently. Node records are read less often than reports: after a power loss they show the
// earlier incarnations for some tenths of a second more, in which nothing would be granted.
func (t *term) isLive(r *prepaid.Report) bool {
	return t.planner.fleet.IsLive(r.Node, r.Incarnation) || slices.ContainsFunc(r.Predecessors, func(c prepaid.FinalUsage) bool {
		return t.planner.fleet.IsLive(r.Node, c.Incarnation)
	})
}

func (t *term) writeLedger(ctx context.Context, ledger prepaid.Ledger) error {
	unchanged := t.written
	unchanged.Epoch = ledger.Epoch
	if reflect.DeepEqual(unchanged, ledger) {
		return nil
	}
	value, err := encode(&ledger)
	if err != nil {
		return errors.Trace(err)
	}
	if err := t.planner.topics.Ledger.Append(ctx, t.fence(), keyedlog.Record{Key: ledgerKey, Value: value}); err != nil {
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
	if err := t.planner.topics.Grants.Append(ctx, t.fence(), records...); err != nil {
		return errors.Trace(err)
	}
	t.planner.events.Record(event.ShareGranted, "epoch", t.epoch, "nodes", len(grants))
	return nil
}
