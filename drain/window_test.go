package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against accepting a request that outlasts the node, and against refusing one that
// doesn't.
func TestAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	const second = time.Second
	w := Window{AddressesExpire: 13 * second, End: 18 * second}
	for _, c := range []struct {
		name              string
		now, limit, usual time.Duration
		accepted          bool
	}{
		{"certainly ends in time", 14 * second, 3 * second, 20 * second, true},
		{"ends just in time", 14 * second, 4 * second, 20 * second, true},
		{"usually ends in time", 11 * second, 30 * second, 6 * second, true},
		{"usually too long", 11 * second, 30 * second, 8 * second, false},
		{"usually ends in time, but its caller's address has expired", 13 * second, 30 * second, second, false},
		{"no limit, usually ends in time", 11 * second, 0, 6 * second, true},
		{"no limit, address expired", 13 * second, 0, second, false},
		{"after the end", 19 * second, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(w.Accepts(c.now, c.limit, c.usual), c.accepted)
		})
	}
}

// Guards against judging a kind of request by outdated or exceptional durations.
func TestUsualDurationFollowsRecentRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	_, known := d.Usual("chat")
	is.True(!known)
	for range 2 * durationWindow {
		d.Record("chat", 20*time.Second)
	}
	for range durationWindow - 1 {
		d.Record("chat", time.Second)
	}
	usual, known := d.Usual("chat")
	is.True(known)
	is.Equal(usual, time.Second) // one exception doesn't count
	d.Record("chat", 5*time.Second)
	d.Record("chat", 5*time.Second)
	d.Record("chat", 5*time.Second)
	usual, _ = d.Usual("chat")
	is.Equal(usual, 5*time.Second)
	d.Record("order", time.Millisecond)
	usual, _ = d.Usual("order")
	is.Equal(usual, time.Millisecond)
}

// Guards against unbounded memory for kinds that no longer exist.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	var d Durations
	for i := range 3 * maxKinds {
		d.Record(string(rune(i)), time.Second)
	}
	is.True(len(d.kinds) <= maxKinds)
}
