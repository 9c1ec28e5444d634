package score

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Reports stop coming from an engine that was idle. Every node would send it all
// new work for as long as the old report counts in full.
func TestOldReportDecaysToMean(t *testing.T) {
	is := is.New(t)
	l := Load{Own: 1, Reported: 0, MeanOtherNodes: 8}
	is.Equal(l.Estimate(ReportWeight(0, time.Second)), 1.0)
	is.True(l.Estimate(ReportWeight(time.Minute, time.Second)) > 8.9)
}

func TestOwnRequestsNotCountedTwice(t *testing.T) {
	is := is.New(t)
	l := Load{Own: 5, OwnAtSample: 3, Reported: 4}
	is.Equal(l.Estimate(1), 6.0)
}

func TestPredictionGrowsWithLoad(t *testing.T) {
	is := is.New(t)
	c := DefaultCosts()
	idle := Upstream{Slots: 4, ServiceTime: time.Second, Slowdown: 1}
	base := c.TimeToFirstToken(idle, 100)
	is.True(c.TimeToFirstToken(idle, 200) > base)
	for _, worse := range []Upstream{
		{Slots: 4, ServiceTime: time.Second, Slowdown: 2},
		{Slots: 4, ServiceTime: time.Second, Slowdown: 1, Pending: 100},
		{Slots: 4, ServiceTime: time.Second, Slowdown: 1, Requests: 4},
	} {
		is.True(c.TimeToFirstToken(worse, 100) > base)
	}
}
