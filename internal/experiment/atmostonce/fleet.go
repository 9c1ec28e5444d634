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

// world is a fleet of runners over one log.
type world struct {
	options Options
	log     *standin.Log
	service *service
	loops   sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	slots  []*node
	nodes  map[string]*node
	closed map[string]bool
	kills  int
}

func newWorld(options Options) *world {
	w := &world{
		options: options, log: standin.NewLog(), service: &service{time: options.ServiceTime, runs: map[string]int{}},
		random: rand.New(rand.NewPCG(options.Seed, options.Seed)), nodes: map[string]*node{}, closed: map[string]bool{},
	}
	w.log.SetDelay(options.LogDelay)
	for i := range options.Nodes {
		n := newNode(w, fmt.Sprint("node", i))
		w.slots = append(w.slots, n)
		w.nodes[n.name] = n
	}
	return w
}

func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
		n.runner.Stop()
	}
	w.loops.Wait()
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) any() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slots[w.random.IntN(len(w.slots))]
}

func (w *world) node(name string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

func (w *world) isOpen(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.closed[name]
}

// forwarded turns an exchange with a dead node into what the asking node answers.
func (w *world) forwarded(owner string, answer idempotency.Response, err error) (idempotency.Response, error) {
	if err != errLost {
		return answer, err
	}
	if w.isOpen(owner) {
		return idempotency.Response{}, result.New(result.PeerUnreachable, "%s doesn't answer", owner)
	}
	return idempotency.Response{}, result.New(result.OutcomeUnknown, "%s is gone", owner)
}

// killOne kills a node and puts a new incarnation in its place.
func (w *world) killOne() {
	at := w.draw(len(w.slots))
	w.mu.Lock()
	old := w.slots[at]
	w.kills++
	name := fmt.Sprintf("node%d.%d", at, w.kills)
	w.mu.Unlock()
	fresh := newNode(w, name)
	w.mu.Lock()
	w.slots[at], w.nodes[name] = fresh, fresh
	w.mu.Unlock()
	old.kill()
	old.runner.Stop()
	time.AfterFunc(w.options.CloseAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.closed[old.name] = true
	})
}
