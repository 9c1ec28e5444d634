package check

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"google.golang.org/grpc/metadata"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/node"
)

const (
	weightInterval = time.Second
	poll           = 50 * time.Millisecond
	// snapshotRecords is how many records pass between two snapshots.
	snapshotRecords = 30
	// windDown is longer than anything that outlives a node: messages on their way,
	// answers being generated.
	windDown      = 30 * time.Second
	startLimit    = time.Minute
	tokenTime     = 20 * time.Millisecond
	callTime      = 30 * time.Millisecond
	operatorToken = "check-operator"
	accountKey    = "check-key-"
	tokenSecret   = "a secret of the harness, 32 bytes"
)

// Regions of the harness. The log stands in RegionHome.
const (
	RegionHome = "gulf-maine"
	RegionAway = "southern-new-england"
)

// Timing is the nodes' timing in the harness, small so that a lapse is cheap.
type Timing struct {
	Heartbeat       time.Duration
	SpendRight      time.Duration
	AddressLifetime time.Duration
	ClaimChunk      uint64
	LeaseTerm       time.Duration
	// RegionCutDuration is how long a region stays cut off.
	RegionCutDuration time.Duration
}

// DefaultTiming is what the matrix runs with.
func DefaultTiming() Timing {
	return Timing{Heartbeat: time.Second, SpendRight: 15 * time.Second, AddressLifetime: 2 * time.Second, ClaimChunk: 400, LeaseTerm: 6 * time.Second, RegionCutDuration: 2 * time.Hour}
}

// Harness runs real nodes in one process over the fakes. It uses nothing of
// package testing; inside a synctest bubble its real clock is virtual.
type Harness struct {
	Store     *standin.Log
	Archive   *fake.Archive
	Instances *standin.Instances
	Network   *fake.Network
	Upstreams *fake.Upstreams
	Members   []*Member
	History   *History
	weights   *standin.Weights

	clock   clockwork.Clock
	began   time.Time
	rand    *rand.Rand
	randMu  sync.Mutex
	onStart func(*Member)
	// nodeClock plants a defective clock; nil otherwise.
	nodeClock func(address string) clockwork.Clock
	// readsOn lets callers whose node died read on at another one.
	readsOn bool
	// sharedPrompts gives prompts common beginnings.
	sharedPrompts bool
	strike        atomic.Pointer[fake.StepHook]

	mu        sync.Mutex
	recorders []*event.Recorder
	seen      map[fake.Step]int
	names     int
	killed    map[string]string
	changes   int
	stayed    bool
	leavings  []LeavingPeriod
	work      sync.WaitGroup
}

// NewHarness returns a harness without nodes.
func NewHarness(clock clockwork.Clock, seed uint64) *Harness {
	network := fake.NewNetwork(clock)
	network.PlaceInRegion(fake.LogEndpoint, RegionHome)
	store := standin.NewLog()
	h := &Harness{
		Store: store, Archive: fake.NewArchive(store, clock), Instances: standin.NewInstances(), Network: network,
		Upstreams: fake.NewUpstreams(clock, network, tokenTime, callTime),
		weights:   standin.NewWeights(clock, weightInterval),
		History:   &History{}, clock: clock, began: clock.Now(),
		rand: rand.New(rand.NewPCG(seed, seed)), seen: map[fake.Step]int{}, killed: map[string]string{},
	}
	return h
}

// since returns the time since the harness began.
func (h *Harness) since() time.Duration { return h.clock.Since(h.began) }

func (h *Harness) draw(n int) int {
	h.randMu.Lock()
	defer h.randMu.Unlock()
	return h.rand.IntN(n)
}

func (h *Harness) newIncarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.names++
	return fmt.Sprintf("inc-%d", h.names)
}

func (h *Harness) addRecorder(r *event.Recorder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recorders = append(h.recorders, r)
}

// probe counts the steps taken and lets the armed fault strike.
func (h *Harness) probe(step fake.Step, at string) {
	h.mu.Lock()
	h.seen[step]++
	h.mu.Unlock()
	if strike := h.strike.Load(); strike != nil {
		(*strike)(step, at)
	}
}

// StepCount returns how often a step was taken.
func (h *Harness) StepCount(step fake.Step) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[step]
}

// Arm lets a fault look at each step from now on.
func (h *Harness) Arm(probe fake.StepHook) { h.strike.Store(&probe) }

// Start brings up nodes in the given regions and waits until all serve.
func (h *Harness) Start(timing Timing, regions ...string) error {
	for i, region := range regions {
		settings := node.DefaultSettings()
		settings.Region, settings.DataCentre = region, region+"-a"
		settings.PeerAddress = fmt.Sprintf("127.0.0.1:%d", 9000+i)
		settings.HTTPAddress = fmt.Sprintf("127.0.0.1:%d", 8000+i)
		settings.OperatorAddress = fmt.Sprintf("127.0.0.1:%d", 7000+i)
		settings.HeartbeatInterval, settings.SpendRight = timing.Heartbeat, timing.SpendRight
		settings.AddressLifetime, settings.ClaimChunk = timing.AddressLifetime, timing.ClaimChunk
		settings.LeaseTerm, settings.TokenSecret = timing.LeaseTerm, []byte(tokenSecret)
		settings.SnapshotPolicy.Records = snapshotRecords
		settings.BootstrapTokenSHA256 = config.HashKey(operatorToken)
		m := &Member{harness: h, settings: settings, restarting: make(chan struct{}, 1)}
		h.Members = append(h.Members, m)
		if err := m.start(); err != nil {
			return errors.Trace(err)
		}
	}
	if !h.Await(startLimit, h.allServe) {
		return errors.New("the nodes don't serve")
	}
	return nil
}

// Await polls until done or until limit has passed, and tells which.
func (h *Harness) Await(limit time.Duration, done func() bool) bool {
	until := h.clock.Now().Add(limit)
	for !done() {
		if h.clock.Now().After(until) {
			return false
		}
		h.clock.Sleep(poll)
	}
	return true
}

func (h *Harness) allServe() bool {
	for _, m := range h.Members {
		if m.Live() && m.Node().State() != node.StateServing {
			return false
		}
	}
	return true
}

// Go runs work that Stop waits for.
func (h *Harness) Go(work func()) { h.work.Go(work) }

// After runs work later.
func (h *Harness) After(d time.Duration, work func()) {
	h.Go(func() {
		h.clock.Sleep(d)
		work()
	})
}

// Stop kills every node and waits for all that runs.
func (h *Harness) Stop() {
	h.work.Wait()
	for _, m := range h.Members {
		m.Kill()
		<-m.done
	}
	h.clock.Sleep(windDown)
}

// operatorContext carries the operator's token as gRPC would.
func operatorContext(ctx context.Context) context.Context {
	return metadata.NewIncomingContext(ctx, metadata.Pairs("authorization", "Bearer "+operatorToken))
}

// ApplyConfig applies the whole configuration through the first node.
func (h *Harness) ApplyConfig(resources ...*operatorv1.Resource) error {
	request := &operatorv1.ApplyRequest{ChangeId: "declare"}
	for _, r := range resources {
		request.Changes = append(request.Changes, &operatorv1.Change{Resource: r})
		if u := r.GetUpstream(); u != nil {
			h.Network.PlaceInRegion(fake.Endpoint(u.GetName()), u.GetRegion())
		}
	}
	answer, err := h.Members[0].operator.Apply(operatorContext(context.Background()), request)
	if err != nil {
		return errors.Trace(err)
	}
	if !h.Await(startLimit, func() bool { return h.allAt(answer.GetVersion()) }) {
		return errors.New("the configuration isn't in force everywhere")
	}
	return nil
}

func (h *Harness) allAt(offset uint64) bool {
	for _, m := range h.Members {
		if m.Live() && m.Node().AppliedOffset() < offset {
			return false
		}
	}
	return true
}

func (h *Harness) noteKilled(m *Member) {
	incarnation, address := m.Node().Incarnation(), m.Address()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.killed[incarnation] = address
}

func (h *Harness) killedNodes() map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.killed)
}
