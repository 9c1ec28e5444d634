package edgenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// Guards against nodes that all read a large configuration from the store because the nodes that they
// fetch from are late: their copies filled the link between the regions, and the change took effect
// seconds too late.
func TestChangeBesideBusyLinkPropagates(t *testing.T) {
	for _, busy := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(busy), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t)
				defer f.stop()
				f.put(f.topics.Upstreams, "e1", "llm")
				l := regionLink()
				far := f.startTwoRegions(l, 3, 14)
				time.Sleep(10 * time.Second)
				before := l.total()
				l.enqueue(int(busy.Seconds() * float64(l.bytesPerSecond)))
				started := time.Now()
				f.put(f.topics.Operators, "config", paddedConfig(2, configBytes))
				for countWithVersion(far, 2) < len(far) && time.Since(started) < 20*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("in force after %s, copies %.1f", time.Since(started), (float64(l.total()-before)-busy.Seconds()*float64(l.bytesPerSecond))/configBytes)
				is.True(time.Since(started) <= maxPropagation)
			})
		})
	}
}
