package lossreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/event"
)

// Interval counts the requests that ended within one time interval.
type Interval struct {
	Start time.Time
	// Requests counts the requests that ended, by cause.
	Requests map[Cause]int
}

// Lost returns how many requests weren't served.
func (i *Interval) Lost() int {
	lost := 0
	for cause, n := range i.Requests {
		if cause != Served {
			lost += n
		}
	}
	return lost
}

// ServedFraction returns the fraction of requests that were served; one if there were none.
func (i *Interval) ServedFraction() float64 {
	served, lost := i.Requests[Served], i.Lost()
	if served+lost == 0 {
		return 1
	}
	return float64(served) / float64(served+lost)
}

// Report is the summary of the logs, by interval.
type Report struct {
	IntervalLength time.Duration
	Intervals      []Interval
}

// New counts the lines of any number of nodes by interval. Timestamps are the nodes' own, which
// may be wrong by seconds.
func New(lines []event.LogLine, intervalLength time.Duration) *Report {
	r := &Report{IntervalLength: intervalLength}
	byStart := make(map[time.Time]*Interval)
	for i := range lines {
		cause, isEnd := causeOf(&lines[i])
		if !isEnd {
			continue
		}
		start := lines[i].Time.Truncate(intervalLength)
		interval, known := byStart[start]
		if !known {
			interval = &Interval{Start: start, Requests: make(map[Cause]int)}
			byStart[start] = interval
		}
		interval.Requests[cause]++
	}
	for _, start := range slices.SortedFunc(maps.Keys(byStart), time.Time.Compare) {
		r.Intervals = append(r.Intervals, *byStart[start])
	}
	return r
}

// Causes returns the causes of all losses, most frequent first.
func (r *Report) Causes() []Cause {
	total := make(map[Cause]int)
	for _, i := range r.Intervals {
		for cause, n := range i.Requests {
			total[cause] += n
		}
	}
	delete(total, Served)
	return slices.SortedFunc(maps.Keys(total), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
}

// Worst returns the n intervals with the smallest fraction served, worst first.
func (r *Report) Worst(n int) []Interval {
	sorted := slices.Clone(r.Intervals)
	slices.SortStableFunc(sorted, func(a, b Interval) int { return cmp.Compare(a.ServedFraction(), b.ServedFraction()) })
	return sorted[:min(n, len(sorted))]
}
