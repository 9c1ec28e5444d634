package recovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node that is cut off stays in the platform's list, one whose machine is gone leaves it
// after a while. If the first counted as gone too early, its answers would not be billed to
// anybody; if the second never did, its tokens would stay locked.
func TestAbsenceTracker(t *testing.T) {
	is := is.New(t)
	const self, other = "127.0.0.1:1", "127.0.0.1:2"
	listed := map[string]bool{self: true, other: true}
	at := time.Unix(0, 0)
	a := NewAbsenceTracker(self, func() (map[string]bool, time.Time) { return listed, at })
	update := func(after time.Duration, addresses ...string) bool {
		listed, at = map[string]bool{}, at.Add(after)
		for _, address := range addresses {
			listed[address] = true
		}
		a.Update([]string{self, other})
		return a.Gone(other)
	}
	is.True(!update(time.Hour, self, other))
	is.True(!update(time.Second, self)) // missing from here on
	is.True(!update(GoneAfter-time.Second, self))
	is.True(update(time.Second, self))

	is.True(!update(time.Second, self, other)) // listed again after a delay
	is.True(!update(time.Second, self))
	is.True(!update(GoneAfter, other)) // a response without this node itself proves nothing
	is.True(!update(time.Second, self))
	is.True(!update(GoneAfter-time.Second, self))

	a.Update([]string{self, other}) // no newer response: the list is down
	is.True(!a.Gone(other))
	is.True(update(time.Second, self))
}
