package queuedelay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a time limit that begins only when the node has time for the request, and against a negative one.
func TestTimeOnTheLinkCountsTowardsTheLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(TimeLeft(2*time.Second, 0, 0), 2*time.Second)
	is.Equal(TimeLeft(2*time.Second, 300*ms, 200*ms), 1500*ms)
	is.Equal(TimeLeft(2*time.Second, 1500*ms, 700*ms), 0*ms)
	is.Equal(ProcessorWait(30*ms), 120*ms)
}
