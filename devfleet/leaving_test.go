package devfleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
)

const (
	requestsAfterLeaving = 200
	// maxOnTheirWay is how many requests may arrive after the first answer that says that the
	// upstream is leaving: it may be one to another goroutine of the node.
	maxOnTheirWay = 1
)

// Guards against new requests to an upstream that has said in an answer that it is leaving, long
// before the platform's list shows it.
func TestRequestsToUpstreamThatSaidItIsLeaving(t *testing.T) {
	t.Run("plain service", func(t *testing.T) {
		fleet := startPauseFleet(t)
		leaving := fleet.PlainServices[0]
		sendAfterLeaving(t, leaving.Leaving(), func() int { return len(leaving.Runs()) }, func(n int) int {
			status, _ := fleet.post(t, 0, "/s/orders/work", SampleAccountKey, fmt.Sprint("order-", n))
			return status
		})
	})
	t.Run("engine", func(t *testing.T) {
		fleet := startPauseFleet(t)
		leaving := fleet.Engines[0]
		body := `{"model":"` + SampleModel + `","max_tokens":1,"messages":[{"role":"user","content":"one"}]}`
		sendAfterLeaving(t, leaving.Leaving(), func() int { return len(leaving.Runs()) }, func(int) int {
			status, _ := fleet.post(t, 0, chatPath, SampleAccountKey, body)
			return status
		})
	})
}

// sendAfterLeaving sends requests until the upstream has said that it is leaving, and then more
// of them, of which it may run almost none.
func sendAfterLeaving(t *testing.T, leaving *standin.Leaving, runs func() int, send func(n int) (status int)) {
	t.Helper()
	is := is.New(t)
	leaving.Announce(true)
	n := 0
	for ; leaving.Announced() == 0; n++ {
		is.Equal(send(n), 200)
	}
	before := runs()
	for last := n + requestsAfterLeaving; n < last; n++ {
		is.Equal(send(n), 200)
	}
	if count := runs() - before; count > maxOnTheirWay {
		t.Fatalf("%d of %d requests reached the upstream after it had said that it is leaving", count, requestsAfterLeaving)
	}
}
