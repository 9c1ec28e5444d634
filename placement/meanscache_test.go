package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

// Guards against judging a request with allowed regions by the means of another request's upstreams, if both lists begin with the
// same upstream and are as long: other nodes' requests are then underestimated, and engines' memory is exceeded.
func TestMeansAreThoseOfTheRequestsUpstreams(t *testing.T) {
	is := is.New(t)
	p := NewPicker(DefaultSettings(), regions)
	first, idle, busy := upstream("u", "a"), upstream("v", "a"), upstream("w", "b")
	first.ObserveReport(directory.LoadReport{Running: 1, Slots: 48, Slowdown: 1}, time.Hour)
	idle.ObserveReport(directory.LoadReport{Running: 1, Slots: 48, Slowdown: 1}, time.Hour)
	busy.ObserveReport(directory.LoadReport{Running: 40, Slots: 48, Slowdown: 1}, time.Hour)
	r := newRequest("a")
	r.Now = time.Hour
	is.Equal(p.meansOf(r, []*directory.Upstream{first, idle}).others, 1.0)
	is.Equal(p.meansOf(r, []*directory.Upstream{first, busy}).others, 20.5)
}
