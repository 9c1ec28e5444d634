package gather_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/internal/experiment/appends"
	"lavenderpin.dev/lavenderpin/membership"
)

const (
	histories = 30
	perWriter = 40
	writers   = 6
)

// Writers, gatherers and the log all fail in every way at once: calls between nodes are
// refused, arrive late or lose their answers, views differ from call to call, and the
// log loses appends, loses answers or takes effect seconds later. Whatever the order,
// each entry takes effect once and each writer's in the order in which it wrote them:
// anything else is a settlement billed twice, never, or before its claim.
func TestEntriesTakeEffectOnceInOrder(t *testing.T) {
	for seed := range uint64(histories) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	is := is.New(t)
	faults := &peerFaults{random: seeded(seed)}
	log := &faultyLog{random: seeded(seed + histories)}
	f := newFleet(t, writers, log, log)
	log.Log, f.OnCall, f.Views = f.Log, faults.call, faults.view
	var wait sync.WaitGroup
	for _, n := range f.nodes {
		wait.Go(func() { write(n, faults) })
	}
	wait.Wait()
	var want []uint64
	for i := range uint64(perWriter) {
		want = append(want, i)
	}
	for _, n := range f.nodes {
		f.counted(is, n, want...)
	}
	t.Logf("%d records for %d entries", len(f.Records()), writers*perWriter)
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 20261203)) }

// write submits entries at odd moments and waits for the verdict of each.
func write(n *appends.Node, faults *peerFaults) {
	var wait sync.WaitGroup
	for i := range uint64(perWriter) {
		ticket := n.Submit(i)
		wait.Go(func() { <-ticket.Done() })
		time.Sleep(time.Duration(faults.draw(300)) * time.Millisecond)
	}
	wait.Wait()
}

// peerFaults are what goes wrong between nodes.
type peerFaults struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (p *peerFaults) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

func (p *peerFaults) call(ctx context.Context, _ string, handle func() *fleetv1.Response) (*fleetv1.Response, error) {
	switch p.draw(6) {
	case 0:
		return nil, errors.New("cut")
	case 1:
		handle()
		return nil, errors.New("cut")
	case 2:
		delay := time.Duration(p.draw(10_000)) * time.Millisecond
		go func() {
			time.Sleep(delay)
			handle()
		}()
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return handle(), nil
	}
}

// view leaves some members out, others each time.
func (p *peerFaults) view(_ string, all []membership.Member) []membership.Member {
	var seen []membership.Member
	for _, m := range all {
		if p.draw(5) > 0 {
			seen = append(seen, m)
		}
	}
	return seen
}
