package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// Guards against nodes without callers that block, for all, a part with which answers begin all the time elsewhere, since they
// hear of crashes only.
func TestNodesWithoutRequestsBlockNoSoundPart(t *testing.T) {
	for _, count := range []int{7, 86} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				nodes := newTestNodes(count, 3)
				guards := make(map[string]*Guard)
				for _, p := range nodes.peers {
					nodes.spreader[p.Node].Transport = &guardTransport{testTransport{nodes, p}, guards, func(string) bool { return false }}
					guards[p.Node] = newTestGuard(bubbleClock{}, nodes.spreader[p.Node])
				}
				common := toParts([]string{"common"})
				senders := []*Guard{guards["n0"], guards["n1"], guards["n2"]}
				for _, g := range senders {
					g.AnswerBegun(PartIDs(common))
				}
				for crash := range 20 { // upstreams that fail for another reason
					sender := senders[crash%len(senders)]
					sender.AnswerBegun(PartIDs(common))
					time.Sleep(100 * time.Millisecond)
					sentAt := bubbleClock{}.Now()
					time.Sleep(400 * time.Millisecond)
					sender.UpstreamCrashed(Attempt{Request: ID(crash + 1), Incarnation: ID(crash + 1), Parts: common, SentAt: sentAt})
					time.Sleep(100 * time.Millisecond)
					for _, g := range guards {
						is.Equal(len(g.Blocks()), 0)
					}
				}
				time.Sleep(15 * time.Second)
				for _, s := range nodes.spreader {
					s.Stop()
				}
			})
		})
	}
}
