package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

// ruleCase is a request and whether it is accepted.
type ruleCase struct {
	name              string
	now, limit, usual time.Duration
	accepted          bool
}

// checkRule checks a rule of a window in which addresses expire after 13 s, and that ends after 18 s.
func checkRule(t *testing.T, accepts func(w Window, now, limit, usual time.Duration) bool, cases []ruleCase) {
	t.Helper()
	w := Window{AddressesExpire: 13 * second, End: 18 * second}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(accepts(w, c.now, c.limit, c.usual), c.accepted)
		})
	}
}

// Guards against accepting a request that outlasts the node, and against refusing one that
// doesn't.
func TestAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	checkRule(t, Window.Accepts, []ruleCase{
		{"certainly ends in time", 14 * second, 3 * second, 20 * second, true},
		{"ends just in time", 14 * second, 4 * second, 20 * second, true},
		{"usually ends in time", 11 * second, 30 * second, 6 * second, true},
		{"usually too long", 11 * second, 30 * second, 8 * second, false},
		{"usually ends in time, but its caller's address has expired", 13 * second, 30 * second, second, false},
		{"no limit, usually ends in time", 11 * second, 0, 6 * second, true},
		{"no limit, address expired", 13 * second, 0, second, false},
		{"after the end", 19 * second, 0, 0, false},
	})
}

// Guards against accepting a request that may not be repeated and that the node's end may cut, and against refusing those that have no limit
// although they usually end in time.
func TestRequestsThatMayNotBeRepeatedEndInTime(t *testing.T) {
	checkRule(t, Window.AcceptsOnce, []ruleCase{
		{"certainly ends in time", 11 * second, 7 * second, 20 * second, true},
		{"certainly ends in time, its caller's address has expired", 14 * second, 4 * second, 0, true},
		{"usually ends in time, may last longer", 11 * second, 7*second + 1, second, false},
		{"no limit, usually ends in time", 11 * second, 0, 6 * second, true},
		{"no limit, usually too long", 11 * second, 0, 8 * second, false},
		{"no limit, nothing is known", 11 * second, 0, 0, false},
		{"no limit, address expired", 13 * second, 0, second, false},
		{"after the end", 19 * second, second, 0, false},
	})
}
