package throttle

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against taking a limit that can't be read for none.
func TestUnreadableLimitIsTheStrictest(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]float64{"2.2": 2.2, " 50 ": 50, "0": 0, "-1": 0, "NaN": 0, "many": 0, "": 0, "1e300": maxLimit} {
		is.Equal(ParseLimit(text), want)
	}
}
