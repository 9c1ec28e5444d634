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

// Options configure one run.
type Options struct {
	// Program is the path of the node's executable, Dir the folder for settings and logs.
	Program, Dir string
	Seed         uint64
	Nodes        int
	// Length is how long faults are injected.
	Length time.Duration
	// Crashes adds upstreams that crash, by themselves and under some requests, to a third of the seeds.
	Crashes bool
	// CrashCalls adds plain services that crash under one call to a third of the seeds.
	CrashCalls bool
	// Starved adds nodes that get a fifth of a processor to half of the seeds.
	Starved bool
	// Places splits nodes and upstreams over two regions, limits a route and a client account to one of them, evacuates the
	// other's data centre, and adds upstreams that are cold after a restart.
	Places bool
	// OddEntries adds another writer's odd entries among the upstreams' to half of the seeds.
	OddEntries bool
	// Spoilt adds upstreams that spoil streams for a while.
	Spoilt bool
}

const (
	// recoveryTime is how long the fleet has to recover after the last fault: the user
	// documentation promises 12 s after its instances are back.
	recoveryTime = 12 * time.Second
	// recoveryWindow is how long calls are made after recoveryTime to check recovery.
	recoveryWindow = 3 * time.Second
	// startTimeout is how long the nodes have to be listed in the directory after the start.
	startTimeout = 10 * time.Second
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Plan       []Step
	Violations []Violation
	// Calls counts calls by status; zero means no response.
	Calls map[int]int
}

// BrokenGuarantees returns the names of the broken guarantees.
func (r *Report) BrokenGuarantees() []string { return brokenGuarantees(r.Violations) }

// Run executes the plan of one seed and checks the outcome.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.close()
	if err := f.waitServing(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	w := &workload{fleet: f, seed: o.Seed}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	streamCtx, stopStreams := context.WithCancel(callCtx)
	defer stopStreams()
	done := make(chan struct{})
	go func() { defer close(done); w.run(callCtx, streamCtx) }()
	report := &Report{Seed: o.Seed, Plan: NewPlan(o, len(f.upstreams)), Calls: make(map[int]int)}
	if err := runPlan(ctx, f, report.Plan); err != nil {
		return nil, errors.Trace(err)
	}
	stopStreams()
	f.topUp() // so that refusals for lack of tokens don't count as a failed recovery
	pause(ctx, recoveryTime)
	recoveryDeadline := time.Now()
	pause(ctx, recoveryWindow)
	stopCalls()
	<-done
	report.Violations = checkHistory(f.history(w, recoveryDeadline))
	for i := range w.records {
		report.Calls[w.records[i].outcome.Status]++
	}
	return report, errors.Trace(ctx.Err())
}

// runPlan executes a plan's steps, overlapping ones concurrently, and returns when all have ended.
func runPlan(ctx context.Context, f *fleet, plan []Step) error {
	var wait sync.WaitGroup
	errs := make(chan error, len(plan))
	start := time.Now()
	for _, step := range plan {
		pause(ctx, step.At-time.Since(start))
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

func (f *fleet) waitServing(ctx context.Context) error {
	c := standin.NewCaller()
	defer c.Close()
	for start := time.Now(); time.Since(start) < startTimeout; pause(ctx, 50*time.Millisecond) {
		listed := make(map[string]bool)
		for _, p := range places {
			addresses, _ := c.Resolve(ctx, f.nodes[0].directory, p.region, p.dataCentre) // none after an error
			for _, a := range addresses {
				listed[a] = true
			}
		}
		if len(listed) == len(f.nodes) {
			return nil
		}
	}
	return errors.Errorf("not all %d nodes serve after %s", len(f.nodes), startTimeout)
}

func (f *fleet) history(w *workload, recoveryDeadline time.Time) *history {
	h := &history{records: w.records, runs: make(map[string][]standin.Run), prepaid: f.prepaid(), recoveryDeadline: recoveryDeadline, routes: f.addedRoutes(), spans: f.spans, nodeNumbers: make(map[string]int), accountRegions: make(map[string]string)}
	for i, n := range f.nodes {
		h.nodeNumbers[n.frontend] = i
		h.stops = append(h.stops, n.plannedStops())
		h.nodePlaces = append(h.nodePlaces, f.options.nodePlace(i))
	}
	for _, a := range f.operator.Accounts {
		h.accountRegions[a.Name] = a.Region
	}
	for i, u := range f.upstreams {
		h.upstreamPlaces = append(h.upstreamPlaces, f.options.upstreamPlace(i))
		h.arrivals = append(h.arrivals, u.Arrivals())
		h.crashes = append(h.crashes, u.CrashList()...)
		for _, run := range u.Runs() {
			h.runs[run.ID] = append(h.runs[run.ID], run)
		}
	}
	return h
}

// Statuses returns the statuses that callers got, in ascending order.
func (r *Report) Statuses() []int { return slices.Sorted(maps.Keys(r.Calls)) }
