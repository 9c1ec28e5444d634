package drain

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (d *Durations) record(kind string, n int, took time.Duration) {
	for range n {
		d.Record(kind, took)
	}
}

// Guards against judging a kind of request by outdated or exceptional durations.
func TestUsualDurationFollowsRecentRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	d.record("chat", 2*durationWindow, 20*time.Second)
	d.record("chat", durationWindow-1, time.Second)
	is.Equal(d.Usual("chat"), time.Second) // one exception doesn't count
	d.record("chat", 3, 5*time.Second)
	is.Equal(d.Usual("chat"), 5*time.Second)
	d.record("order", minDurations, time.Millisecond)
	is.Equal(d.Usual("order"), time.Millisecond)
}

// Guards against refusing requests because of the first few that a node has served.
func TestUsualDurationNeedsEnoughRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	is.Equal(d.Usual("chat"), time.Duration(0))
	d.record("chat", minDurations-1, time.Hour)
	is.Equal(d.Usual("chat"), time.Duration(0))
	d.record("chat", 1, time.Hour)
	is.Equal(d.Usual("chat"), time.Hour)
}

// Guards against unbounded memory for kinds that no longer exist.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	var d Durations
	for i := range 3 * maxKinds {
		d.Record(strconv.Itoa(i), time.Second)
	}
	kinds := 0
	d.kinds.Range(func(any, any) bool { kinds++; return true })
	is.True(kinds <= maxKinds)
}
