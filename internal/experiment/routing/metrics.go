package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// metrics collects the results of a run as seen by callers, for requests that arrived
// after the warm-up.
type metrics struct {
	scenario        Scenario
	warmup          time.Duration
	firstToken      *hdrhistogram.Histogram
	tokenGaps       *hdrhistogram.Histogram
	smallFirstToken *hdrhistogram.Histogram
	admissionWait   *hdrhistogram.Histogram
	// bulkFirstToken and urgentFirstToken split firstToken by priority, for scenarios with
	// a bulk account.
	bulkFirstToken, urgentFirstToken           *hdrhistogram.Histogram
	bulkWithinDeadlines, urgentWithinDeadlines int

	arrivals, answered, withinDeadlines, refusals, failures, retries int
	// completed counts the answers that ended within the measured period.
	completed int
	// Prompt and answer tokens by team: requested, and served within the deadlines.
	requestedTokens map[string]float64
	servedTokens    map[string]float64
	// arrivals and withinDeadlines restricted to small accounts.
	smallArrivals, smallWithinDeadlines int
	// Tokens as counted by the engines, and bytes sent over the link.
	prompt, cached, wasted int
	linkBytes              float64
}

// merge adds the results of another run of the same scenario.
func (m *metrics) merge(o *metrics) {
	m.firstToken.Merge(o.firstToken)
	m.tokenGaps.Merge(o.tokenGaps)
	m.smallFirstToken.Merge(o.smallFirstToken)
	m.admissionWait.Merge(o.admissionWait)
	m.bulkFirstToken.Merge(o.bulkFirstToken)
	m.urgentFirstToken.Merge(o.urgentFirstToken)
	m.bulkWithinDeadlines += o.bulkWithinDeadlines
	m.urgentWithinDeadlines += o.urgentWithinDeadlines
	m.arrivals += o.arrivals
	m.answered += o.answered
	m.withinDeadlines += o.withinDeadlines
	m.refusals += o.refusals
	m.failures += o.failures
	m.retries += o.retries
	m.completed += o.completed
	m.smallArrivals += o.smallArrivals
	m.smallWithinDeadlines += o.smallWithinDeadlines
	m.prompt += o.prompt
	m.cached += o.cached
	m.wasted += o.wasted
	m.linkBytes += o.linkBytes
	for team, tokens := range o.requestedTokens {
		m.requestedTokens[team] += tokens
	}
	for team, tokens := range o.servedTokens {
		m.servedTokens[team] += tokens
	}
}

func newMetrics(scenario Scenario) *metrics {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &metrics{scenario: scenario, warmup: scenario.Warmup, firstToken: histogram(), tokenGaps: histogram(),
		smallFirstToken: histogram(), admissionWait: histogram(),
		bulkFirstToken: histogram(), urgentFirstToken: histogram(),
		requestedTokens: map[string]float64{}, servedTokens: map[string]float64{}}
}

func (m *metrics) measured(c call) bool { return c.at >= m.warmup }

func (c call) tokens() float64 { return float64(c.prompt + c.answer) }

// isSmall reports whether the call comes from a small account, which never causes a surge.
func (c call) isSmall() bool { return c.account.share < 0.1 }

func (m *metrics) recordArrival(c call, _ time.Time) {
	if !m.measured(c) {
		return
	}
	m.arrivals++
	m.requestedTokens[c.account.team] += c.tokens()
	if c.isSmall() {
		m.smallArrivals++
	}
}

func (m *metrics) recordRefusal(c call) {
	if m.measured(c) {
		m.refusals++
	}
}

func (m *metrics) recordRetry(c call) {
	if m.measured(c) {
		m.retries++
	}
}

func (m *metrics) recordTokenGap(c call, gap time.Duration) {
	if m.measured(c) {
		recordDuration(m.tokenGaps, gap)
	}
}

// recordAdmission records how long a request waited for admission.
func (m *metrics) recordAdmission(c call, wait time.Duration) {
	if m.measured(c) {
		recordDuration(m.admissionWait, wait)
	}
}

// firstTokenByPriority returns the first-token histogram for the call's priority.
func (m *metrics) firstTokenByPriority(c call) *hdrhistogram.Histogram {
	if c.priority < 0 {
		return m.bulkFirstToken
	}
	return m.urgentFirstToken
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// inMeasuredPeriod reports whether end lies in the measured period, which follows the warm-up.
func (m *metrics) inMeasuredPeriod(end time.Time) bool {
	at := end.Sub(modelStart)
	return at >= m.warmup && at < m.warmup+m.scenario.Length
}

// recordFinish records the end of an admitted request. If it got no first token, its wait
// lasts until it failed.
func (m *metrics) recordFinish(c call, arrived, firstToken, end time.Time, err error) {
	if err == nil && m.inMeasuredPeriod(end) {
		m.completed++
	}
	if !m.measured(c) {
		return
	}
	if firstToken.IsZero() {
		firstToken = end
	}
	wait := firstToken.Sub(arrived)
	recordDuration(m.firstToken, wait)
	recordDuration(m.firstTokenByPriority(c), wait)
	if c.isSmall() {
		recordDuration(m.smallFirstToken, wait)
	}
	if err != nil {
		m.failures++
		return
	}
	m.answered++
	if wait > firstTokenDeadline || end.Sub(arrived) > answerDeadline {
		return
	}
	m.withinDeadlines++
	if c.priority < 0 {
		m.bulkWithinDeadlines++
	} else {
		m.urgentWithinDeadlines++
	}
	m.servedTokens[c.account.team] += c.tokens()
	if c.isSmall() {
		m.smallWithinDeadlines++
	}
}
