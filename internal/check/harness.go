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
	pollInterval   = 50 * time.Millisecond
	// snapshotRecords is how many records are written between two snapshots.
	snapshotRecords = 30
	// stopGrace is longer than anything that outlives a node: messages in transit and
	// responses being generated.
	stopGrace     = 30 * time.Second
	startTimeout  = time.Minute
	tokenInterval = 20 * time.Millisecond
	callLatency   = 30 * time.Millisecond
	operatorToken = "check-operator"
	accountKey    = "check-key-"
	tokenSecret   = "a secret of the harness, 32 bytes"
)

// Regions of the harness. The log is in RegionHome.
const (
	RegionHome = "gulf-maine"
	RegionAway = "southern-new-england"
)

// Timing is the nodes' timing in the harness. It is short so that waiting for a lapse is
// cheap.
type Timing struct {
	Heartbeat       time.Duration
	SpendRight      time.Duration
	AddressLifetime time.Duration
	ClaimChunk      uint64
	LeaseTerm       time.Duration
	// RegionCutDuration is how long a region stays cut off.
	RegionCutDuration time.Duration
}

// DefaultTiming is the timing of the matrix.
func DefaultTiming() Timing {
	return Timing{Heartbeat: time.Second, SpendRight: 15 * time.Second, AddressLifetime: 2 * time.Second, ClaimChunk: 400, LeaseTerm: 6 * time.Second, RegionCutDuration: 2 * time.Hour}
}

// Harness runs real nodes in one process over the fakes. It does not depend on package
// testing; inside a synctest bubble its real clock is virtual.
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
	// nodeClock replaces a node's clock by a defective one; nil otherwise.
	nodeClock func(address string) clockwork.Clock
	// resumesStreams lets callers whose node died resume their stream at another node.
	resumesStreams bool
	// sharedPrefixes gives prompts common prefixes.
	sharedPrefixes bool
	injector       atomic.Pointer[fake.StepHook]

	mu              sync.Mutex
	recorders       []*event.Recorder
	stepCounts      map[fake.Step]int
	incarnations    int
	killed          map[string]string
	changes         int
	leavingCanceled bool
	leavings        []LeavingPeriod
	tasks           sync.WaitGroup
}

// NewHarness returns a harness without nodes.
func NewHarness(clock clockwork.Clock, seed uint64) *Harness {
	network := fake.NewNetwork(clock)
	network.PlaceInRegion(fake.LogEndpoint, RegionHome)
	store := standin.NewLog()
	h := &Harness{
		Store: store, Archive: fake.NewArchive(store, clock), Instances: standin.NewInstances(), Network: network,
		Upstreams: fake.NewUpstreams(clock, network, tokenInterval, callLatency),
		weights:   standin.NewWeights(clock, weightInterval),
		History:   &History{}, clock: clock, began: clock.Now(),
		rand: rand.New(rand.NewPCG(seed, seed)), stepCounts: map[fake.Step]int{}, killed: map[string]string{},
	}
	return h
}

// since returns the time since the harness began.
func (h *Harness) since() time.Duration { return h.clock.Since(h.began) }

func (h *Harness) intN(n int) int {
	h.randMu.Lock()
	defer h.randMu.Unlock()
	return h.rand.IntN(n)
}

func (h *Harness) newIncarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations++
	return fmt.Sprintf("inc-%d", h.incarnations)
}

func (h *Harness) addRecorder(r *event.Recorder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recorders = append(h.recorders, r)
}

// onStep counts a step and runs the armed fault injector.
func (h *Harness) onStep(step fake.Step, at string) {
	h.mu.Lock()
	h.stepCounts[step]++
	h.mu.Unlock()
	if injector := h.injector.Load(); injector != nil {
		(*injector)(step, at)
	}
}

// StepCount returns how often a step was taken.
func (h *Harness) StepCount(step fake.Step) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stepCounts[step]
}

// Arm installs a fault injector that is called at each step from now on.
func (h *Harness) Arm(injector fake.StepHook) { h.injector.Store(&injector) }

// Start starts one node in each of the given regions and waits until all serve.
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
	if !h.Await(startTimeout, h.allServing) {
		return errors.New("the nodes do not serve within the start timeout")
	}
	return nil
}

// Await polls until the condition holds or the limit has passed, and reports whether it
// holds.
func (h *Harness) Await(limit time.Duration, condition func() bool) bool {
	deadline := h.clock.Now().Add(limit)
	for !condition() {
		if h.clock.Now().After(deadline) {
			return false
		}
		h.clock.Sleep(pollInterval)
	}
	return true
}

func (h *Harness) allServing() bool {
	for _, m := range h.Members {
		if m.Live() && m.Node().State() != node.StateServing {
			return false
		}
	}
	return true
}

// Go runs a task that Stop waits for.
func (h *Harness) Go(task func()) { h.tasks.Go(task) }

// After runs a task after d.
func (h *Harness) After(d time.Duration, task func()) {
	h.Go(func() {
		h.clock.Sleep(d)
		task()
	})
}

// Stop waits for all tasks, kills every node and waits until nothing runs any more.
func (h *Harness) Stop() {
	h.tasks.Wait()
	for _, m := range h.Members {
		m.Kill()
		<-m.done
	}
	h.clock.Sleep(stopGrace)
}

// operatorContext carries the operator's token like an incoming gRPC call.
func operatorContext(ctx context.Context) context.Context {
	return metadata.NewIncomingContext(ctx, metadata.Pairs("authorization", "Bearer "+operatorToken))
}

// ApplyConfig applies the whole configuration through the first node and waits until all
// live nodes have it.
func (h *Harness) ApplyConfig(resources ...*operatorv1.Resource) error {
	request := &operatorv1.ApplyRequest{ChangeId: "declare"}
	for _, r := range resources {
		request.Changes = append(request.Changes, &operatorv1.Change{Resource: r})
		if u := r.GetUpstream(); u != nil {
			h.Network.PlaceInRegion(fake.Endpoint(u.GetName()), u.GetRegion())
		}
	}
	response, err := h.Members[0].operator.Apply(operatorContext(context.Background()), request)
	if err != nil {
		return errors.Trace(err)
	}
	if !h.Await(startTimeout, func() bool { return h.allApplied(response.GetVersion()) }) {
		return errors.New("the configuration is not in force on all nodes within the start timeout")
	}
	return nil
}

func (h *Harness) allApplied(offset uint64) bool {
	for _, m := range h.Members {
		if m.Live() && m.Node().AppliedOffset() < offset {
			return false
		}
	}
	return true
}

func (h *Harness) recordKill(m *Member) {
	incarnation, address := m.Node().Incarnation(), m.Address()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.killed[incarnation] = address
}

func (h *Harness) killedIncarnations() map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.killed)
}
