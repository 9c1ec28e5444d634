package lossreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/event"
)

// Interval counts what ended within one interval.
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

// ServedFraction returns the part of the requests that was served; one if there were none.
func (i *Interval) ServedFraction() float64 {
	served, lost := i.Requests[Served], i.Lost()
	if served+lost == 0 {
		return 1
	}
	return float64(served) / float64(served+lost)
}

// Report is what the logs tell, by interval.
type Report struct {
	IntervalLength time.Duration
	Intervals      []Interval
}

// New counts the lines of any number of nodes in intervals. Times are the nodes' own, which
// may be wrong by seconds.
func New(lines []event.LogLine, every time.Duration) *Report {
	r := &Report{IntervalLength: every}
	byBegin := make(map[time.Time]*Interval)
	for i := range lines {
		why, ends := cause(&lines[i])
		if !ends {
			continue
		}
		begin := lines[i].Time.Truncate(every)
		in, known := byBegin[begin]
		if !known {
			in = &Interval{Start: begin, Requests: make(map[Cause]int)}
			byBegin[begin] = in
		}
		in.Requests[why]++
	}
	for _, begin := range slices.SortedFunc(maps.Keys(byBegin), time.Time.Compare) {
		r.Intervals = append(r.Intervals, *byBegin[begin])
	}
	return r
}

// Causes returns the causes of all losses, the most frequent first.
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

// Worst returns the intervals with the smallest part served, the worst first.
func (r *Report) Worst(most int) []Interval {
	sorted := slices.Clone(r.Intervals)
	slices.SortStableFunc(sorted, func(a, b Interval) int { return cmp.Compare(a.ServedFraction(), b.ServedFraction()) })
	return sorted[:min(most, len(sorted))]
}
