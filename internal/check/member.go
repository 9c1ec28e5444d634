package check

import (
	"context"
	"fmt"
	"sync"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/operator"
)

// Member is one address of the fleet and the process that runs there now. A
// process replaces its node when the fleet closed it, as the daemon does.
type Member struct {
	harness  *Harness
	settings node.Settings

	mu        sync.Mutex
	process   int
	node      *node.Node
	gate      *fake.Gate
	log       *fake.Log
	instances *fake.Instances
	operator  *operator.Server
	cancel    context.CancelFunc
	done      chan struct{}
	// restarting is held by whoever restarts the member.
	restarting chan struct{}
}

// Address returns the peer address, which names the member.
func (m *Member) Address() string { return m.settings.PeerAddress }

// Node returns the current node.
func (m *Member) Node() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// Gate returns the current process's gate.
func (m *Member) Gate() *fake.Gate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gate
}

// Log returns the current process's view of the log.
func (m *Member) Log() *fake.Log {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log
}

// Live tells whether the process is neither dead nor paused.
func (m *Member) Live() bool {
	gate := m.Gate()
	select {
	case <-gate.Dead():
		return false
	default:
		return !gate.Paused()
	}
}

// start runs a new process at the member's address.
func (m *Member) start() error {
	h := m.harness
	at := fake.Endpoint(m.Address())
	m.mu.Lock()
	m.process++
	m.gate = fake.NewGate()
	m.log = fake.NewLog(h.Archive, h.Network, at, m.gate, h.clock, h.probe)
	m.instances = fake.NewInstances(h.Instances, h.Network, at)
	m.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.operator = operator.New(m.Node)
	m.mu.Unlock()
	if h.onStart != nil {
		h.onStart(m)
	}
	if err := m.newNode(); err != nil {
		return errors.Trace(err)
	}
	h.Network.AttachNode(at, m.settings.Region, m.Gate(), m.handlePeer)
	go m.run(ctx, m.done)
	return nil
}

func (m *Member) handlePeer(ctx context.Context, r *fleetv1.Request) *fleetv1.Response {
	return m.Node().HandlePeer(ctx, r)
}

func (m *Member) newNode() error {
	h := m.harness
	at := fake.Endpoint(m.Address())
	m.mu.Lock()
	defer m.mu.Unlock()
	var clock clockwork.Clock = h.clock
	if h.nodeClock != nil {
		clock = h.nodeClock(m.settings.PeerAddress)
	}
	n, err := node.New(m.settings, node.Deps{
		Clock: clock, Log: m.log, Instances: m.instances, Weights: h.weights,
		Peers: h.Network.Caller(at, m.gate, h.probe), Upstreams: fake.NewClient(h.Upstreams, at, m.gate, h.probe),
		Logger: log.NewNopLogger(), NewIncarnation: h.newIncarnation,
	})
	if err != nil {
		return errors.Trace(err)
	}
	m.node = n
	h.addRecorder(n.Events())
	return nil
}

func (m *Member) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		if err := m.Node().Run(ctx); !errors.Is(err, node.ErrClosed) {
			return
		}
		if err := m.newNode(); err != nil {
			return
		}
	}
}

// Kill ends the process abruptly. It returns at once, so that it may strike from
// within the process's own steps.
func (m *Member) Kill() {
	m.mu.Lock()
	gate, cancel := m.gate, m.cancel
	m.mu.Unlock()
	m.harness.noteKilled(m)
	gate.Kill()
	cancel()
}

// Restart runs a new process at the address, after the old one's death. Where two
// faults killed the same process, the second finds a new one at work and leaves it;
// it would otherwise wait for that one's end, or run two at one address.
func (m *Member) Restart() {
	m.restarting <- struct{}{}
	defer func() { <-m.restarting }()
	select {
	case <-m.Gate().Dead():
	default:
		return
	}
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	<-done
	if err := m.start(); err != nil {
		panic(fmt.Sprintf("member %s: %v", m.Address(), err))
	}
}
