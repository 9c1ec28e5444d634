package recovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node that is cut off stays in the platform's list, and one whose machine is gone
// leaves it after a while. Taken for gone too early, what the first had answered would
// be billed to nobody; never taken for gone, the second's tokens would stay frozen.
func TestAbsenceTracker(t *testing.T) {
	is := is.New(t)
	const self, other = "127.0.0.1:1", "127.0.0.1:2"
	shown := map[string]bool{self: true, other: true}
	at := time.Unix(0, 0)
	a := NewAbsenceTracker(self, func() (map[string]bool, time.Time) { return shown, at })
	look := func(after time.Duration, addresses ...string) bool {
		shown, at = map[string]bool{}, at.Add(after)
		for _, address := range addresses {
			shown[address] = true
		}
		a.Update([]string{self, other})
		return a.Gone(other)
	}
	is.True(!look(time.Hour, self, other))
	is.True(!look(time.Second, self)) // absent from here on
	is.True(!look(GoneAfter-time.Second, self))
	is.True(look(time.Second, self))

	is.True(!look(time.Second, self, other)) // it was shown late
	is.True(!look(time.Second, self))
	is.True(!look(GoneAfter, other)) // an answer without this node itself proves nothing
	is.True(!look(time.Second, self))
	is.True(!look(GoneAfter-time.Second, self))

	a.Update([]string{self, other}) // no newer answer: the list is down
	is.True(!a.Gone(other))
	is.True(look(time.Second, self))
}
