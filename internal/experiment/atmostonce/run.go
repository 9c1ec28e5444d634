package atmostonce

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowest  = 1
	highest = int64(time.Minute / time.Microsecond)
	digits  = 3
)

// Run compares all ways in all scenes.
func Run(options Options) []Row {
	var rows []Row
	for _, scene := range []Scenario{ScenarioNoFault, ScenarioLogOutage, ScenarioNodeCrashes} {
		for _, way := range []Strategy{StrategySendOnce, StrategyBlindRetry, StrategyKey, StrategyTicket} {
			rows = append(rows, one(options, scene, way))
		}
	}
	return rows
}

// one lets all callers send their calls in one way.
func one(options Options, scene Scenario, way Strategy) Row {
	w := newWorld(options)
	defer w.stop()
	time.Sleep(options.Gather) // followers reach the log's end
	w.log.SetDown(scene == ScenarioLogOutage)
	ended := make(chan struct{})
	var faults sync.WaitGroup
	if scene == ScenarioNodeCrashes {
		faults.Go(func() { w.keepKilling(ended) })
	}
	t := &tally{row: Row{Strategy: way, Scenario: scene}, latency: hdrhistogram.New(lowest, highest, digits)}
	limit := maxTries
	if scene == ScenarioLogOutage {
		limit, options.Calls = outageTries, 2
	}
	var callers sync.WaitGroup
	for i := range options.Callers {
		callers.Go(func() {
			for k := range options.Calls {
				t.send(&caller{world: w, way: way, name: fmt.Sprintf("call-%d-%d", i, k), limit: limit})
			}
		})
	}
	callers.Wait()
	close(ended)
	faults.Wait()
	time.Sleep(2 * options.ServiceTime) // what dead nodes sent has run by now
	return t.judge(w)
}

func (w *world) keepKilling(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(w.options.CrashInterval):
			w.killOne()
		}
	}
}

// tally gathers how calls ended.
type tally struct {
	mu      sync.Mutex
	row     Row
	latency *hdrhistogram.Histogram
	endings map[string]ending
}

func (t *tally) send(c *caller) {
	started := time.Now()
	end := c.run()
	took := time.Since(started)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endings == nil {
		t.endings = map[string]ending{}
	}
	t.endings[c.name] = end
	if end == endAnswered && c.tries == 1 {
		_ = t.latency.RecordValue(took.Microseconds())
	}
}

// judge compares what callers were told with what the service ran.
func (t *tally) judge(w *world) Row {
	for name, end := range t.endings {
		ran := w.service.ran(name)
		t.row.Calls++
		if ran > 1 {
			t.row.DoubleRuns++
		}
		switch end {
		case endAnswered:
			t.row.Answered++
		case endNotRun:
			t.row.NotRun++
			if ran > 0 {
				t.row.FalseNotRun++
			}
		case endUnknown:
			t.row.Unknown++
			if ran > 0 {
				t.row.UnknownRan++
			}
		}
	}
	t.row.P50 = time.Duration(t.latency.ValueAtQuantile(50)) * time.Microsecond
	t.row.P99 = time.Duration(t.latency.ValueAtQuantile(99)) * time.Microsecond
	return t.row
}
