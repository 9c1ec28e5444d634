package drain

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	start   = time.Hour
	horizon = 5 * time.Second
)

// record adds n requests that ended a minute after the start.
func (d *Durations) record(kind string, n int, took time.Duration) {
	for range n {
		d.Record(kind, took, start+time.Minute)
	}
}

// Guards against judging a kind of request by outdated or exceptional durations.
func TestUsualDurationFollowsRecentRequests(t *testing.T) {
	is := is.New(t)
	now := start + 2*time.Minute
	var d Durations
	d.record("chat", 2*durationWindow, 20*time.Second)
	d.record("chat", durationWindow-1, time.Second)
	usual, known := d.Usual("chat", now, horizon)
	is.True(known)
	is.Equal(usual, time.Second) // one exception doesn't count
	d.record("chat", 3, 5*time.Second)
	usual, _ = d.Usual("chat", now, horizon)
	is.Equal(usual, 5*time.Second)
	d.record("order", minDurations, time.Millisecond)
	usual, _ = d.Usual("order", now, horizon)
	is.Equal(usual, time.Millisecond)
}

// Guards against an estimate from the few requests that a node has served so far.
func TestUsualDurationNeedsEnoughRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	_, known := d.Usual("chat", start, horizon)
	is.True(!known)
	d.record("chat", minDurations-1, time.Second)
	_, known = d.Usual("chat", start+2*time.Minute, horizon)
	is.True(!known)
}

// Guards against an estimate on a node that has just started, where only short requests can have
// ended.
func TestUsualDurationNeedsTimeForLongRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	for range minDurations {
		d.Record("chat", time.Second, start+time.Second)
	}
	_, known := d.Usual("chat", start+horizon-1, horizon)
	is.True(!known)
	_, known = d.Usual("chat", start+horizon, horizon)
	is.True(known)
}

// Guards against unbounded memory for kinds that no longer exist.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	var d Durations
	for i := range 3 * maxKinds {
		d.Record(strconv.Itoa(i), time.Second, start)
	}
	kinds := 0
	d.kinds.Range(func(any, any) bool { kinds++; return true })
	is.True(kinds <= maxKinds)
}
