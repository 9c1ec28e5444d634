package soak

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// Options are one run's.
type Options struct {
	// Program is the path of the node's program, Dir where settings and logs go.
	Program, Dir string
	Seed         uint64
	Nodes        int
	// Length is how long faults are injected.
	Length time.Duration
}

const (
	// recoverWithin is how long after the last fault the fleet has to recover: the users'
	// pages give it 12 s after its instances are back.
	recoverWithin = 12 * time.Second
	// calmFor is how long calls are judged for recovery.
	calmFor = 3 * time.Second
	// startWithin is how long the first nodes have to serve an address.
	startWithin = 10 * time.Second
)

// Report is what a run found.
type Report struct {
	Seed       uint64
	Plan       []Step
	Violations []Violation
	// Calls counts calls by status; zero is no answer.
	Calls map[int]int
}

// BrokenGuarantees names the broken promises.
func (r *Report) BrokenGuarantees() []string { return promises(r.Violations) }

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := newFleet(o.Program, o.Dir, o.Nodes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.close()
	if err := f.untilServing(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	l := &load{fleet: f, seed: o.Seed}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); l.run(calls) }()
	report := &Report{Seed: o.Seed, Plan: NewPlan(o.Seed, o.Length, o.Nodes, len(f.upstreams)), Calls: make(map[int]int)}
	if err := play(ctx, f, report.Plan); err != nil {
		return nil, errors.Trace(err)
	}
	f.topUp() // so that what is refused for want of tokens isn't taken for a failed recovery
	pause(ctx, recoverWithin)
	calm := time.Now()
	pause(ctx, calmFor)
	stop()
	<-done
	report.Violations = judge(f.evidence(l, calm))
	for i := range l.records {
		report.Calls[l.records[i].outcome.Status]++
	}
	return report, errors.Trace(ctx.Err())
}

// play does a plan's steps, each beside those that still last, and returns when all ended.
func play(ctx context.Context, f *fleet, plan []Step) error {
	var wait sync.WaitGroup
	errs := make(chan error, len(plan))
	begun := time.Now()
	for _, step := range plan {
		pause(ctx, step.At-time.Since(begun))
		wait.Go(func() { errs <- f.apply(step) })
	}
	wait.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *fleet) untilServing(ctx context.Context) error {
	c := standin.NewCaller()
	defer c.Close()
	for begun := time.Now(); time.Since(begun) < startWithin; pause(ctx, 50*time.Millisecond) {
		if found, err := c.Resolve(ctx, f.nodes[0].directory); err == nil && len(found) == len(f.nodes) {
			return nil
		}
	}
	return errors.Errorf("not all %d nodes serve after %s", len(f.nodes), startWithin)
}

func (f *fleet) evidence(l *load, calm time.Time) *evidence {
	e := &evidence{records: l.records, runs: make(map[string][]standin.Run), prepaid: f.prepaid(), calmSince: calm, routes: f.added(), spans: f.spans, nodes: make(map[string]int)}
	for i, n := range f.nodes {
		e.nodes[n.frontend] = i
	}
	for _, u := range f.upstreams {
		for _, run := range u.Runs() {
			e.runs[run.ID] = append(e.runs[run.ID], run)
		}
	}
	return e
}

// Statuses returns the statuses that callers got, in order.
func (r *Report) Statuses() []int { return slices.Sorted(maps.Keys(r.Calls)) }
