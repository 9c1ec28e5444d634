package drain

import (
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/result"
)

// ErrNodeEnds is the cause with which the contexts of requests are canceled that are still open
// when the node ends.
var ErrNodeEnds = errors.New("the node ends")

// RetryAfter is the retry delay of a request that a draining node refuses: the caller only needs to
// connect to another node.
const RetryAfter = 100 * time.Millisecond

// Refusal returns the error of a request that a draining or stopped node refuses.
func Refusal() *result.Error {
	return result.New(result.Draining, "this node is leaving").WithRetryAfter(RetryAfter)
}
