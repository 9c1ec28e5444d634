package atmostonce

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency        = 1
	maxLatency        = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Run runs every strategy in every scenario.
func Run(options Options) []Row {
	var rows []Row
	for _, scenario := range []Scenario{ScenarioNoFault, ScenarioLogOutage, ScenarioNodeCrashes} {
		for _, strategy := range []Strategy{StrategySendOnce, StrategyBlindRetry, StrategyKey, StrategyTicket} {
			rows = append(rows, runOne(options, scenario, strategy))
		}
	}
	return rows
}

// runOne runs all callers under one strategy in one scenario.
func runOne(options Options, scenario Scenario, strategy Strategy) Row {
	f := newFleet(options)
	defer f.stop()
	time.Sleep(options.Gather) // wait until followers reach the end of the log
	f.log.SetDown(scenario == ScenarioLogOutage)
	done := make(chan struct{})
	var faults sync.WaitGroup
	if scenario == ScenarioNodeCrashes {
		faults.Go(func() { f.crashPeriodically(done) })
	}
	res := &results{row: Row{Strategy: strategy, Scenario: scenario}, latency: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
	attemptLimit := maxAttempts
	if scenario == ScenarioLogOutage {
		attemptLimit, options.Calls = maxOutageAttempts, 2
	}
	var callers sync.WaitGroup
	for i := range options.Callers {
		callers.Go(func() {
			for k := range options.Calls {
				res.record(&caller{fleet: f, strategy: strategy, name: fmt.Sprintf("call-%d-%d", i, k), attemptLimit: attemptLimit})
			}
		})
	}
	callers.Wait()
	close(done)
	faults.Wait()
	time.Sleep(2 * options.ServiceTime) // wait for calls that dead nodes had sent
	return res.summarize(f)
}

func (f *fleet) crashPeriodically(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(f.options.CrashInterval):
			f.crashOne()
		}
	}
}

// results collects the outcomes of calls.
type results struct {
	mu       sync.Mutex
	row      Row
	latency  *hdrhistogram.Histogram
	outcomes map[string]callOutcome
}

func (r *results) record(c *caller) {
	started := time.Now()
	outcome := c.run()
	elapsed := time.Since(started)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = map[string]callOutcome{}
	}
	r.outcomes[c.name] = outcome
	if outcome == outcomeAnswered && c.attempts == 1 {
		_ = r.latency.RecordValue(elapsed.Microseconds())
	}
}

// summarize compares the outcomes known to callers with the runs counted by the service.
func (r *results) summarize(f *fleet) Row {
	for name, outcome := range r.outcomes {
		runCount := f.service.runCount(name)
		r.row.Calls++
		if runCount > 1 {
			r.row.DoubleRuns++
		}
		switch outcome {
		case outcomeAnswered:
			r.row.Answered++
		case outcomeNotRun:
			r.row.NotRun++
			if runCount > 0 {
				r.row.FalseNotRun++
			}
		case outcomeUnknown:
			r.row.Unknown++
			if runCount > 0 {
				r.row.UnknownRan++
			}
		}
	}
	r.row.P50 = time.Duration(r.latency.ValueAtQuantile(50)) * time.Microsecond
	r.row.P99 = time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
	return r.row
}
