package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking a slow-down for present long after the neighbour that caused it is gone.
func TestSlowdownFadesAsTheReportAges(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	s.ObserveReport(LoadReport{Running: 3, Slots: 48, Slowdown: 2.5}, time.Hour)
	load := s.Load()
	is.Equal(load.SlowdownNow(time.Hour), 2.5)
	is.Equal(load.SlowdownNow(time.Hour+slowdownPeriod/2), 1.75)
	is.Equal(load.SlowdownNow(time.Hour+time.Minute), 1.0)
}

// Guards against dropping the protection of an engine's memory for one garbled header, and against keeping it for an
// upstream that reports three figures.
func TestReportsSlowdownOutlastsGarbledReports(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	s.ObserveLoad(1, 0, time.Hour)
	is.True(!s.ReportsSlowdown())
	s.ObserveReport(LoadReport{Running: 1, Slots: 48, Slowdown: 1}, time.Hour)
	s.ObserveLoad(2, 0, time.Hour+1)
	s.ObserveLoad(2, 0, time.Hour+1+slowdownTTL)
	is.True(s.ReportsSlowdown())
	is.Equal(s.Load().Running, 2)
	is.Equal(s.Load().Slots, 48)
	s.ObserveLoad(2, 0, time.Hour+1+slowdownTTL+1)
	is.True(!s.ReportsSlowdown())
}

// Guards against dropping the protection of an engine's memory for one garbled header after a pause: in a large fleet, a node
// receives reports of one upstream less often than every slowdownTTL.
func TestOneGarbledReportAfterAPauseKeepsSlowdown(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	s.ObserveReport(LoadReport{Running: 1, Slots: 48, Slowdown: 1}, time.Hour)
	s.ObserveLoad(2, 0, time.Hour+slowdownTTL+time.Second)
	is.True(s.ReportsSlowdown())
}
