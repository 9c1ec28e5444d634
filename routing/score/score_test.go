package score

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Reports stop coming from an engine that was idle. Every node would send it all
// new work for as long as the old report counts in full.
func TestAnOldReportFadesToTheMean(t *testing.T) {
	is := is.New(t)
	l := Load{Own: 1, Reported: 0, Mean: 8}
	is.Equal(l.Estimate(Trust(0, time.Second)), 1.0)
	is.True(l.Estimate(Trust(time.Minute, time.Second)) > 8.9)
}

func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	is := is.New(t)
	l := Load{Own: 5, OwnThen: 3, Reported: 4}
	is.Equal(l.Estimate(1), 6.0)
}

func TestPredictionGrowsWithEachKindOfLoad(t *testing.T) {
	is := is.New(t)
	c := DefaultCosts()
	idle := Upstream{Slots: 4, Service: time.Second, Pace: 1}
	base := c.FirstToken(idle, 100)
	is.True(c.FirstToken(idle, 200) > base)
	for _, worse := range []Upstream{
		{Slots: 4, Service: time.Second, Pace: 2},
		{Slots: 4, Service: time.Second, Pace: 1, Pending: 100},
		{Slots: 4, Service: time.Second, Pace: 1, Requests: 4},
	} {
		is.True(c.FirstToken(worse, 100) > base)
	}
}
