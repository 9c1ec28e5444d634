package atmostonce

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

// fleet is a set of nodes with one shared log.
type fleet struct {
	options Options
	log     *standin.Log
	service *service
	wg      sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	slots       []*node
	nodes       map[string]*node
	closedNodes map[string]bool
	crashes     int
}

func newFleet(options Options) *fleet {
	f := &fleet{
		options: options, log: standin.NewLog(), service: &service{duration: options.ServiceTime, runs: map[string]int{}},
		random: rand.New(rand.NewPCG(options.Seed, options.Seed)), nodes: map[string]*node{}, closedNodes: map[string]bool{},
	}
	f.log.SetDelay(options.LogDelay)
	for i := range options.Nodes {
		n := newNode(f, fmt.Sprint("node", i))
		f.slots = append(f.slots, n)
		f.nodes[n.name] = n
	}
	return f
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
		n.runner.Stop()
	}
	f.wg.Wait()
}

func (f *fleet) randomIndex(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) randomNode() *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots[f.random.IntN(len(f.slots))]
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fleet) isOpen(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.closedNodes[name]
}

// forwardedResult maps the result of a forwarded call to the response of the forwarding
// node, in particular if the connection to the owner was lost.
func (f *fleet) forwardedResult(owner string, answer idempotency.Response, err error) (idempotency.Response, error) {
	if err != errConnectionLost {
		return answer, err
	}
	if f.isOpen(owner) {
		return idempotency.Response{}, result.New(result.PeerUnreachable, "%s doesn't answer", owner)
	}
	return idempotency.Response{}, result.New(result.OutcomeUnknown, "%s is gone", owner)
}

// crashOne kills a random node and replaces it by a new incarnation.
func (f *fleet) crashOne() {
	slot := f.randomIndex(len(f.slots))
	f.mu.Lock()
	old := f.slots[slot]
	f.crashes++
	name := fmt.Sprintf("node%d.%d", slot, f.crashes)
	f.mu.Unlock()
	replacement := newNode(f, name)
	f.mu.Lock()
	f.slots[slot], f.nodes[name] = replacement, replacement
	f.mu.Unlock()
	old.cancel()
	old.runner.Stop()
	time.AfterFunc(f.options.CloseDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closedNodes[old.name] = true
	})
}
