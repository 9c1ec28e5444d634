package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// tally gathers what a run's callers saw of requests that arrived after the warm-up.
type tally struct {
	scenario Scenario
	begin    time.Duration
	first    *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
	small    *hdrhistogram.Histogram
	queue    *hdrhistogram.Histogram
	// bulk and urgent tell apart the first tokens of a scenario with a bulk account.
	bulk, urgent         *hdrhistogram.Histogram
	bulkGood, urgentGood int

	arrivals, whole, good, turnedAway, failures, retries int
	// completed counts answers that ended within the measured time.
	completed int
	// Tokens, prompt and answer, asked for and served within the deadlines.
	asked  map[string]float64
	served map[string]float64
	// The same of requests of small accounts.
	smallArrivals, smallGood int
	// What the engines did, in tokens, and what crossed the link.
	prompt, cached, wasted int
	linkBytes              float64
}

// merge adds another run of the same scenario.
func (t *tally) merge(o *tally) {
	t.first.Merge(o.first)
	t.gaps.Merge(o.gaps)
	t.small.Merge(o.small)
	t.queue.Merge(o.queue)
	t.bulk.Merge(o.bulk)
	t.urgent.Merge(o.urgent)
	t.bulkGood += o.bulkGood
	t.urgentGood += o.urgentGood
	t.arrivals += o.arrivals
	t.whole += o.whole
	t.good += o.good
	t.turnedAway += o.turnedAway
	t.failures += o.failures
	t.retries += o.retries
	t.completed += o.completed
	t.smallArrivals += o.smallArrivals
	t.smallGood += o.smallGood
	t.prompt += o.prompt
	t.cached += o.cached
	t.wasted += o.wasted
	t.linkBytes += o.linkBytes
	for team, tokens := range o.asked {
		t.asked[team] += tokens
	}
	for team, tokens := range o.served {
		t.served[team] += tokens
	}
}

func newTally(scenario Scenario) *tally {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &tally{scenario: scenario, begin: scenario.Warmup, first: histogram(), gaps: histogram(), small: histogram(), queue: histogram(), bulk: histogram(), urgent: histogram(),
		asked: map[string]float64{}, served: map[string]float64{}}
}

func (t *tally) counts(c call) bool { return c.at >= t.begin }

func (c call) tokens() float64 { return float64(c.prompt + c.answer) }

// isSmall tells whether the call is of an account that never crowds.
func (c call) isSmall() bool { return c.account.share < 0.1 }

func (t *tally) offered(c call, _ time.Time) {
	if !t.counts(c) {
		return
	}
	t.arrivals++
	t.asked[c.account.team] += c.tokens()
	if c.isSmall() {
		t.smallArrivals++
	}
}

func (t *tally) refused(c call) {
	if t.counts(c) {
		t.turnedAway++
	}
}

func (t *tally) retried(c call) {
	if t.counts(c) {
		t.retries++
	}
}

func (t *tally) between(c call, gap time.Duration) {
	if t.counts(c) {
		record(t.gaps, gap)
	}
}

// admitted takes in how long a request waited for its admission.
func (t *tally) admitted(c call, wait time.Duration) {
	if t.counts(c) {
		record(t.queue, wait)
	}
}

// class returns the histogram of the call's priority.
func (t *tally) class(c call) *hdrhistogram.Histogram {
	if c.priority < 0 {
		return t.bulk
	}
	return t.urgent
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// within tells whether something that ended then falls into the measured time.
func (t *tally) within(end time.Time) bool {
	at := end.Sub(modelStart)
	return at >= t.begin && at < t.begin+t.scenario.Length
}

// finished takes in a request that was admitted. One without a first token counts as
// having waited until it failed.
func (t *tally) finished(c call, arrived, first, end time.Time, err error) {
	if err == nil && t.within(end) {
		t.completed++
	}
	if !t.counts(c) {
		return
	}
	if first.IsZero() {
		first = end
	}
	wait := first.Sub(arrived)
	record(t.first, wait)
	record(t.class(c), wait)
	if c.isSmall() {
		record(t.small, wait)
	}
	if err != nil {
		t.failures++
		return
	}
	t.whole++
	if wait > firstTokenDeadline || end.Sub(arrived) > wholeDeadline {
		return
	}
	t.good++
	if c.priority < 0 {
		t.bulkGood++
	} else {
		t.urgentGood++
	}
	t.served[c.account.team] += c.tokens()
	if c.isSmall() {
		t.smallGood++
	}
}
