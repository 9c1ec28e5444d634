package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	near       = "gulf-maine"
	far        = "southern-new-england"
	testBudget = "b"
	testEngine = "engine-1"
)

// testFleet is several real nodes over an in-memory network and log, under the
// fake time of a synctest bubble.
type testFleet struct {
	t       *testing.T
	log     *standin.Log
	net     *testNet
	engines *testEngines
	nodes   []*testNode
	policy  budget.Policy
	appends gather.Policy
	topUps  int
	// instances is the platform's list: it shows every instance that runs, also behind a
	// cut, and none that crashed.
	instances *standin.Instances
	listed    map[string]*platformv1.Instance
}

type testNode struct {
	*Node
	kill context.CancelFunc
	done chan struct{}
}

// startFleet starts one node per region named and waits until all serve.
func startFleet(t *testing.T, policy budget.Policy, regions ...string) *testFleet {
	return startGathering(t, gather.DefaultPolicy(), policy, regions...)
}

// startGathering starts a fleet as startFleet does, with a policy of appends.
func startGathering(t *testing.T, appends gather.Policy, policy budget.Policy, regions ...string) *testFleet {
	f := &testFleet{t: t, log: standin.NewLog(), net: newTestNet(), engines: newTestEngines(), policy: policy, appends: appends,
		instances: standin.NewInstances(), listed: map[string]*platformv1.Instance{}}
	for i, region := range regions {
		f.nodes = append(f.nodes, f.start(i, region))
	}
	f.await(func() bool {
		for _, n := range f.nodes {
			if n.State() != StateServing || len(n.witnesses()) != len(regions)-1 {
				return false
			}
		}
		return true
	})
	f.declareEngine()
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.kill()
			<-n.done
		}
	})
	return f
}

// start runs a node at place i; a later one at the same place replaces it.
func (f *testFleet) start(i int, region string) *testNode {
	is := is.New(f.t)
	settings := DefaultSettings()
	settings.Region, settings.DataCentre = region, fmt.Sprintf("%s-%d", region, i%2)
	settings.PeerAddress = fmt.Sprintf("127.0.0.1:%d", 7000+i)
	settings.HTTPAddress, settings.OperatorAddress = "127.0.0.1:1", "127.0.0.1:2"
	settings.GatherPolicy = f.appends
	settings.BudgetPolicy, settings.SpendRight = f.policy, f.policy.SpendRight
	settings.ClaimChunk = 1000
	settings.AddressLifetime = time.Second
	settings.EventCapacity = 100_000
	settings.TokenSecret = make([]byte, signed.MinSecretLen)
	f.topUps++
	name := fmt.Sprintf("n%d-%d", i, f.topUps)
	node, err := New(settings, Deps{
		Clock: clockwork.NewRealClock(), Log: &testLog{f, settings.PeerAddress}, Peers: &testCaller{f.net, settings.PeerAddress}, Instances: f.instances, Weights: standin.NewWeights(clockwork.NewRealClock(), time.Second),
		Upstreams: f.engines, Logger: log.NewNopLogger(), NewIncarnation: func() string { return name },
	})
	is.NoErr(err)
	ctx, kill := context.WithCancel(context.Background())
	running := &testNode{Node: node, kill: kill, done: make(chan struct{})}
	f.net.serve(settings.PeerAddress, region, node)
	f.list(settings.PeerAddress, &platformv1.Instance{Address: settings.PeerAddress, Region: region, Role: "entry",
		State: platformv1.InstanceState_INSTANCE_STATE_LIVE})
	go func() {
		_ = node.Run(ctx)
		close(running.done)
	}()
	return running
}

// crash ends a node at once: nothing that it holds is sent any more.
func (f *testFleet) crash(i int) {
	f.net.silence(f.nodes[i].settings.PeerAddress)
	f.nodes[i].kill()
	<-f.nodes[i].done
	f.list(f.nodes[i].settings.PeerAddress, nil)
}

// list puts an instance into the platform's list, or takes it out when it is nil.
func (f *testFleet) list(address string, instance *platformv1.Instance) {
	delete(f.listed, address)
	if instance != nil {
		f.listed[address] = instance
	}
	f.instances.Set(slices.Collect(maps.Values(f.listed)))
}

func (f *testFleet) await(done func() bool) {
	for started := time.Now(); !done(); time.Sleep(100 * time.Millisecond) {
		if time.Since(started) > 30*time.Hour {
			f.logState()
			f.t.Fatal("waited thirty hours in vain")
		}
	}
}

// logState shows what a test that waits in vain needs to be understood.
func (f *testFleet) logState() {
	for _, n := range f.nodes {
		line := n.Ledger().Budget(testBudget)
		f.t.Logf("%s %s: spent %d of %d used, lost %d, open %d, borrowed %d, told %d, remembers %d", n.Incarnation(), n.State(),
			line.Spent, f.engines.used(), line.Lost, n.holder.OpenReservations(), n.budgets.borrower.UnsettledParts(), n.budgets.teller.Len(), n.budgets.memory.Len())
		events, _ := n.events.Find("")
		for _, e := range events {
			if e.Number >= event.SpendRightLapsed && e.Number <= event.WitnessChanged && e.Number != event.RecoveryWaiting {
				f.t.Log(e.Timestamp.Time().Format(time.TimeOnly), e.Node, e.Number.Kind().Name, e.Fields)
			}
		}
	}
}

func (f *testFleet) append(entry *recordv1.Entry) {
	is := is.New(f.t)
	f.topUps++
	data, err := proto.Marshal(&recordv1.Batch{Writer: fmt.Sprintf("operator-%d", f.topUps), Seq: 1, Entries: []*recordv1.Entry{entry}})
	is.NoErr(err)
	_, err = f.log.Append(context.Background(), "fleet", data)
	is.NoErr(err)
}

func (f *testFleet) topUp(tokens uint64) {
	f.append(&recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
		TopUp: &operatorv1.TopUp{Id: fmt.Sprint("top-up-", f.topUps), Budget: testBudget, Tokens: tokens},
	}}})
	time.Sleep(time.Second)
}

func (f *testFleet) declareEngine() {
	f.append(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: "engine", Changes: []*operatorv1.Change{
		{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{
			Name: testEngine, Service: "chat", Address: "127.0.0.1:3",
		}}}},
	}}}})
	f.await(func() bool {
		for _, n := range f.nodes {
			if !n.engines().ReportsUsage(testEngine) {
				return false
			}
		}
		return true
	})
}

// request runs one request on a node: the engine uses the tokens.
func (f *testFleet) request(i int, reserve, use uint64) error {
	grant, err := f.nodes[i].budgets.reserver.Reserve(context.Background(), testBudget, reserve)
	if err != nil {
		return err
	}
	if err := grant.Dispatch(context.Background(), testEngine); err != nil {
		grant.Finish(0)
		return err
	}
	f.engines.run(grant.Request().String(), use)
	grant.Finish(use)
	return nil
}

// checkLedger asserts what must hold at every moment, as a node folds it.
func (f *testFleet) checkLedger(i int) budget.Line {
	f.t.Helper()
	is := is.New(f.t)
	line := f.nodes[i].Ledger().Budget(testBudget)
	is.True(line.Conserved())
	is.True(line.Spent <= line.Prepaid)
	is.Equal(f.nodes[i].Ledger().Excess(), uint64(0))
	return line
}

// awaitBilled waits until what the engines used is billed, neither more nor less.
func (f *testFleet) awaitBilled(i int) {
	f.t.Helper()
	f.await(func() bool { return f.checkLedger(i).Spent >= f.engines.used() })
	time.Sleep(time.Minute)
	is.New(f.t).Equal(f.checkLedger(i).Spent, f.engines.used())
}

// testNet passes requests between nodes of one process. A cut, silent or lossy
// path shows to the caller as an answer that never comes.
type testNet struct {
	mu      sync.Mutex
	nodes   map[string]*Node
	regions map[string]string
	cut     bool
	silent  map[string]bool
	// lose decides on an answer's loss after the request took effect.
	lose func(*fleetv1.Request) bool
}

func newTestNet() *testNet {
	return &testNet{nodes: map[string]*Node{}, regions: map[string]string{}, silent: map[string]bool{}}
}

func (n *testNet) serve(address, region string, node *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address], n.regions[address], n.silent[address] = node, region, false
}

func (n *testNet) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = true
}

func (n *testNet) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *testNet) loseAnswers(lose func(*fleetv1.Request) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = lose
}

// reaches tells whether a message from one address arrives at another or, for an
// empty one, at the log, which stands in the near region.
func (n *testNet) reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	toRegion := near
	if to != "" {
		toRegion = n.regions[to]
	}
	return !n.silent[from] && !n.silent[to] && (!n.cut || n.regions[from] == toRegion)
}

type testCaller struct {
	net  *testNet
	from string
}

func (c *testCaller) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	time.Sleep(time.Millisecond)
	if !c.net.reaches(c.from, address) {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	c.net.mu.Lock()
	node, lose := c.net.nodes[address], c.net.lose
	c.net.mu.Unlock()
	response := proto.CloneOf(node.HandlePeer(ctx, proto.CloneOf(r)))
	time.Sleep(time.Millisecond)
	if !c.net.reaches(c.from, address) || lose != nil && lose(r) {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	return response, nil
}

// testLog is the log as one node reaches it.
type testLog struct {
	fleet   *testFleet
	address string
}

func (l *testLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if !l.fleet.net.reaches(l.address, "") {
		<-ctx.Done()
		return 0, errors.Trace(ctx.Err())
	}
	return l.fleet.log.Append(ctx, stream, data)
}

func (l *testLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	if !l.fleet.net.reaches(l.address, "") {
		<-ctx.Done()
		return ports.ReadResult{}, errors.Trace(ctx.Err())
	}
	return l.fleet.log.Read(ctx, stream, from, max, wait)
}

// testEngines counts what requests used, as the engines of a fleet would.
type testEngines struct {
	upstream.Client
	mu        sync.Mutex
	counted   map[string]uint64
	cancelled map[string]bool
	// hidden holds what ran at engines that can't be asked now.
	hidden map[string]uint64
	down   bool
}

func newTestEngines() *testEngines {
	return &testEngines{counted: map[string]uint64{}, cancelled: map[string]bool{}, hidden: map[string]uint64{}}
}

func (e *testEngines) run(id string, tokens uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cancelled[id] {
		e.counted[id] += tokens
	}
}

// hide is run for a request whose engine can't be asked before show.
func (e *testEngines) hide(id string, tokens uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hidden[id] = tokens
}

func (e *testEngines) show() {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.Copy(e.counted, e.hidden)
	clear(e.hidden)
}

func (e *testEngines) used() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := uint64(0)
	for _, tokens := range e.counted {
		total += tokens
	}
	return total
}

func (e *testEngines) Usage(_ context.Context, _ *operatorv1.Upstream, id string) (upstream.UsageReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return upstream.UsageReport{}, errors.New("the engine is down")
	}
	if _, hidden := e.hidden[id]; hidden {
		return upstream.UsageReport{}, errors.New("the engine is out of reach")
	}
	if tokens, known := e.counted[id]; known {
		return upstream.UsageReport{State: upstream.UsageFinished, Usage: upstream.Usage{CompletionTokens: tokens}}, nil
	}
	return upstream.UsageReport{State: upstream.UsageUnknown}, nil
}

func (e *testEngines) Cancel(_ context.Context, _ *operatorv1.Upstream, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return errors.New("the engine is down")
	}
	e.cancelled[id] = true
	return nil
}
