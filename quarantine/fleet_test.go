package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// bubbleClock is a boot clock that follows the virtual time of a test.
type bubbleClock struct{}

func (bubbleClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// guardTransport hands news to the guards of a testNodes.
type guardTransport struct {
	testTransport
	guards map[string]*Guard
	lost   func(to string) bool
}

func (t *guardTransport) Tell(ctx context.Context, address string, n News) error {
	to := "n" + address[1:]
	if t.lost(to) {
		time.Sleep(10 * time.Millisecond)
		return errors.New("lost")
	}
	if err := t.testTransport.Tell(ctx, address, n); err != nil {
		return err
	}
	t.guards[to].Learn(n)
	return nil
}

func (t *guardTransport) Ask(ctx context.Context, address string, q Inquiries) ([]Standing, error) {
	to := "n" + address[1:]
	if err := t.pass(ctx, address); err != nil {
		return nil, err
	}
	known := Answer(t.guards[to], t.nodes.spreader[to], q)
	return known, t.pass(ctx, address)
}

// Guards against nodes that together learn of a part too late or not at all, and against news that each node sends to all
// others when all conclude the same.
func TestAllNodesBlockAPart(t *testing.T) {
	for _, count := range []int{7, 86, 295} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				nodes := newTestNodes(count, 3)
				guards := make(map[string]*Guard)
				lossAt := 0
				for _, p := range nodes.peers {
					nodes.spreader[p.Node].Transport = &guardTransport{testTransport{nodes, p}, guards, func(to string) bool {
						nodes.mu.Lock()
						defer nodes.mu.Unlock()
						lossAt++
						return lossAt%10 == 0 // one message in ten fails at the first try
					}}
					guards[p.Node] = newTestGuard(bubbleClock{}, nodes.spreader[p.Node])
				}
				for i := range MaxPartCrashes {
					g := guards[fmt.Sprint("n", i*(count/MaxPartCrashes))]
					sentAt := bubbleClock{}.Now()
					time.Sleep(150 * time.Millisecond)
					g.UpstreamCrashed(Attempt{Request: ID(i + 1), Incarnation: ID(i + 1), Account: fmt.Sprint(i), Parts: toParts([]string{"first", "bad"}), Opened: true, SentAt: sentAt})
					time.Sleep(100 * time.Millisecond)
					for _, other := range guards {
						other.AnswerBegun(PartIDs(toParts([]string{"first"})))
					}
					time.Sleep(400 * time.Millisecond)
				}
				last := time.Now()
				blocked := func() (n int) {
					for _, g := range guards {
						if g.parts.refused(PartIDs(toParts([]string{"bad"})), "x") != nil {
							n++
						}
						is.True(g.parts.refused(PartIDs(toParts([]string{"first"})), "x") == nil)
					}
					return n
				}
				for blocked() < count && time.Since(last) < 4*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				nodes.mu.Lock()
				messages := nodes.messages
				nodes.mu.Unlock()
				t.Logf("%d nodes: %d block the part %v after the last crash was told, %d messages in all, %.1f a node", count, blocked(), time.Since(last), messages, float64(messages)/float64(count))
				is.Equal(blocked(), count)
				is.True(messages < 120*count)
				time.Sleep(15 * time.Second)
				for _, s := range nodes.spreader {
					s.Stop()
				}
			})
		})
	}
}
