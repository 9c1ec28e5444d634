package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/snapshot"
	"lavenderpin.dev/lavenderpin/upstream"
)

// basicFleet runs nodes in one process with fake platform services, in the fake time of a
// synctest bubble. It also implements the network between them.
type basicFleet struct {
	t              *testing.T
	log            *standin.Log
	instances      *standin.Instances
	snapshotPolicy snapshot.Policy
	// instanceList and upstreams are optional: a replacement for instances, and the nodes'
	// upstream client, nil by default.
	instanceList ports.InstanceList
	upstreams    upstream.Client

	mu     sync.Mutex
	starts int
	alive  map[string]*runningNode
}

type runningNode struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

func newBasicFleet(t *testing.T) *basicFleet {
	return &basicFleet{t: t, log: standin.NewLog(), instances: standin.NewInstances(),
		snapshotPolicy: snapshot.DefaultPolicy(), alive: map[string]*runningNode{}}
}

// Call implements peer.Caller.
func (f *basicFleet) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	f.mu.Lock()
	n := f.alive[address]
	f.mu.Unlock()
	if n == nil {
		<-ctx.Done()
		return nil, errors.New("no node at this address")
	}
	return n.HandlePeer(ctx, r), nil
}

func peerAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+i) }

func (f *basicFleet) start(i int) *runningNode {
	settings := DefaultSettings()
	settings.Region, settings.DataCentre = "gulf-maine", "casco"
	settings.PeerAddress = peerAddress(i)
	settings.HTTPAddress = fmt.Sprintf("127.0.0.1:%d", 2000+i)
	settings.OperatorAddress = fmt.Sprintf("127.0.0.1:%d", 3000+i)
	settings.SnapshotPolicy = f.snapshotPolicy
	f.mu.Lock()
	f.starts++
	name := fmt.Sprintf("n%d-%d", i, f.starts)
	f.mu.Unlock()
	var instanceList ports.InstanceList = f.instances
	if f.instanceList != nil {
		instanceList = f.instanceList
	}
	n, err := New(settings, Deps{
		Clock: clockwork.NewRealClock(), Log: f.log, Instances: instanceList, Peers: f, Upstreams: f.upstreams,
		Logger: golog.NewNopLogger(), NewIncarnation: func() string { return name },
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	r := &runningNode{Node: n, cancel: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.alive[settings.PeerAddress] = r
	f.mu.Unlock()
	go func() {
		defer close(r.done)
		_ = n.Run(ctx)
	}()
	return r
}

func (f *basicFleet) startAll(count int) []*runningNode {
	var nodes []*runningNode
	for i := range count {
		nodes = append(nodes, f.start(i))
	}
	time.Sleep(20 * time.Second)
	return nodes
}

func (f *basicFleet) kill(r *runningNode) {
	r.cancel()
	<-r.done
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.alive, r.info.GetPeerAddress())
}

func (r *runningNode) change(base uint64, id string, change *operatorv1.Change) (fold.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	change.BaseVersion = base
	return r.LogWriter().Submit(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{
		ChangeId: id, Operator: "op", Changes: []*operatorv1.Change{change}}}}).Wait(ctx)
}

func accountChange(name, team string) *operatorv1.Change {
	return &operatorv1.Change{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{
		Account: &operatorv1.Account{Name: name, Team: team}}}}
}

func drainChange(address string) *operatorv1.Change {
	return &operatorv1.Change{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Drain{
		Drain: &operatorv1.Drain{Name: address}}}}
}

// Two operators change the same account concurrently through different nodes. One change must
// win, the other must be refused with the current version, and all nodes must agree.
func TestConcurrentConfigChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newBasicFleet(t).startAll(3)
		created, err := nodes[0].change(0, "c0", accountChange("moorwatch", "a"))
		is.NoErr(err)
		is.True(created.OK())
		verdicts := make([]fold.Verdict, 2)
		var wait sync.WaitGroup
		for i := range verdicts {
			wait.Go(func() {
				verdicts[i], _ = nodes[i].change(created.Version, fmt.Sprint("race", i), accountChange("moorwatch", fmt.Sprint("team", i)))
			})
		}
		wait.Wait()
		winner, loser := verdicts[0], verdicts[1]
		if !winner.OK() {
			winner, loser = loser, winner
		}
		is.True(winner.OK())
		is.Equal(loser.Code, result.VersionConflict)
		is.Equal(loser.Version, winner.Version)
		time.Sleep(time.Second)
		for _, n := range nodes {
			is.Equal(n.Config().Account("moorwatch").GetTeam(), nodes[0].Config().Account("moorwatch").GetTeam())
		}
	})
}

// The log appends an operator's change but the response is lost. The change must be reported as
// accepted, and sending it again must have no further effect.
func TestLostAppendResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		nodes := f.startAll(3)
		f.log.DropResponses(3)
		verdict, err := nodes[1].change(0, "c1", accountChange("moorwatch", "a"))
		is.NoErr(err)
		is.True(verdict.OK())
		again, err := nodes[2].change(0, "c1", accountChange("moorwatch", "a"))
		is.NoErr(err)
		is.Equal(again, verdict)
		f.log.SetDown(true)
		_, err = nodes[0].change(verdict.Version, "c2", accountChange("moorwatch", "b"))
		code := result.CodeOf(err)
		is.True(code == result.LogUnavailable || code == result.ChangeOutcomeOpen)
		f.log.SetDown(false)
		time.Sleep(20 * time.Second)
		settled, err := nodes[2].change(verdict.Version, "c2", accountChange("moorwatch", "b"))
		is.NoErr(err)
		is.True(settled.OK()) // sent again, the change returns its outcome
		for _, n := range nodes {
			time.Sleep(time.Second)
			is.Equal(n.Config().Account("moorwatch").GetTeam(), "b")
		}
	})
}

// All instances of the fleet are lost at once, after the first records have expired from the
// log. New instances must restore all accounts from the log alone.
func TestFleetRestoresFromLogOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		f.snapshotPolicy = snapshot.Policy{Records: 20, Bytes: 1 << 30, Age: time.Hour}
		nodes := f.startAll(3)
		for i := range 30 {
			_, err := nodes[i%3].change(0, fmt.Sprint("c", i), accountChange(fmt.Sprint("account", i), "team"))
			is.NoErr(err)
		}
		time.Sleep(time.Minute)
		f.log.SetRetention(60)
		time.Sleep(time.Minute)
		_, err := f.log.Read(t.Context(), "fleet", 1, 1, 0)
		is.True(errors.Is(err, ports.ErrAgedOut))
		want := nodes[0].Config().All()
		for _, n := range nodes {
			f.kill(n)
		}
		for _, n := range f.startAll(3) {
			is.Equal(n.State(), StateServing)
			is.Equal(len(n.Config().All()), 30)
			for i, restored := range n.Config().All() {
				is.Equal(restored.GetVersion(), want[i].GetVersion())
			}
		}
	})
}

// The log is down for longer than it retains records. The nodes must write a snapshot first when
// it is back, or a node that starts later can't restore the state.
func TestLogOutageLongerThanRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		f.snapshotPolicy.Age = 4 * time.Minute
		nodes := f.startAll(3)
		_, err := nodes[0].change(0, "c", accountChange("moorwatch", "a"))
		is.NoErr(err)
		synctest.Wait() // a record that no node had read would be lost with the log
		f.log.SetDown(true)
		f.log.SetRetention(1)
		time.Sleep(5 * time.Minute)
		f.log.SetDown(false)
		_, err = f.log.Append(t.Context(), "fleet", nil) // expires all earlier records
		is.NoErr(err)
		f.log.SetRetention(5000)
		_, err = f.log.Read(t.Context(), "fleet", nodes[0].Config().Offset, 1, 0)
		is.True(errors.Is(err, ports.ErrAgedOut))
		time.Sleep(time.Minute)
		for _, n := range nodes {
			f.kill(n)
		}
		fresh := f.start(9)
		time.Sleep(time.Minute)
		is.Equal(fresh.State(), StateServing)
		is.Equal(fresh.Config().Account("moorwatch").GetTeam(), "a")
	})
}

// An instance starts while the log is down. It must fetch the state from its peers before it
// serves; one that reaches no peer must refuse requests with NotServing.
func TestNodeStartsDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		nodes := f.startAll(3)
		_, err := nodes[0].change(0, "c", accountChange("moorwatch", "a"))
		is.NoErr(err)
		time.Sleep(time.Second)
		f.log.SetDown(true)
		alone := f.start(8)
		time.Sleep(30 * time.Second)
		is.Equal(result.CodeOf(alone.Serving()), result.NotServing)
		f.instances.Set([]*platformv1.Instance{{Address: peerAddress(0), Role: "entry", State: platformv1.InstanceState_INSTANCE_STATE_LIVE}})
		fresh := f.start(9)
		time.Sleep(30 * time.Second)
		is.Equal(fresh.State(), StateServing)
		is.Equal(fresh.Config().Account("moorwatch").GetTeam(), "a")
		is.Equal(fresh.AppliedOffset(), nodes[0].AppliedOffset())
	})
}

// An operator drains a node and later deletes the drain order, when a new instance has started at
// the same address. The node must stop by itself, and the new one must not serve before the deletion.
func TestOperatorDrainsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		nodes := f.startAll(3)
		verdict, err := nodes[0].change(0, "d", drainChange(peerAddress(2)))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			list, _ := n.Addresses("")
			is.Equal(len(list), 2)
		}
		is.NoErr(nodes[2].Serving()) // callers may still hold its address
		<-nodes[2].Drained()
		is.Equal(nodes[2].State(), StateStopped)
		f.kill(nodes[2])
		fresh := f.start(2)
		time.Sleep(10 * time.Second)
		is.Equal(result.CodeOf(fresh.Serving()), result.NodeDrained)
		back := drainChange(peerAddress(2))
		back.Delete = true
		_, err = nodes[0].change(verdict.Version, "back", back)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		is.Equal(fresh.State(), StateServing)
		list, _ := nodes[0].Addresses("")
		is.Equal(len(list), 3)
	})
}

// The platform lists an upstream as leaving and later removes it. From three seconds after it was
// listed as leaving it must get no requests, even while the list is unavailable.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		nodes := f.startAll(2)
		engines := []*operatorv1.Upstream{{Name: "e1", Address: "127.0.0.1:1"}, {Name: "e2", Address: "127.0.0.1:2"}}
		is.Equal(len(nodes[0].excludeLeaving(engines)), 2)
		setState := func(state platformv1.InstanceState) {
			f.instances.Set([]*platformv1.Instance{{Address: "127.0.0.1:1", Role: "upstream", State: state}})
		}
		setState(platformv1.InstanceState_INSTANCE_STATE_LEAVING)
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			is.Equal(n.excludeLeaving(engines), engines[1:])
		}
		f.instances.SetDown(true)
		time.Sleep(time.Minute)
		is.Equal(nodes[0].excludeLeaving(engines), engines[1:])
		f.instances.SetDown(false)
		f.instances.Set(nil)
		time.Sleep(time.Minute)
		is.Equal(nodes[0].excludeLeaving(engines), engines[1:]) // removed from the list, not returned
		setState(platformv1.InstanceState_INSTANCE_STATE_LIVE)
		time.Sleep(3 * time.Second)
		is.Equal(len(nodes[0].excludeLeaving(engines)), 2)
	})
}

// A starting node restores a snapshot that already contains its first heartbeat, so it never sees
// the verdict on it. The node must serve after its next heartbeat rather than stay "starting"
// forever.
func TestFirstHeartbeatWithinSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		settings := DefaultSettings()
		settings.Region, settings.DataCentre = "gulf-maine", "casco"
		settings.PeerAddress, settings.HTTPAddress, settings.OperatorAddress = peerAddress(1), peerAddress(2), peerAddress(3)
		other, err := New(settings, Deps{Clock: clockwork.NewRealClock(), Log: f.log, Instances: f.instances, Peers: f,
			Logger: golog.NewNopLogger(), NewIncarnation: func() string { return "late" }})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go other.writer.Run(ctx)
		go other.sendHeartbeats(ctx)
		time.Sleep(time.Second)
		other.ledger.Apply(fold.Position{Offset: 1, Writer: "late"}, &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{
			Heartbeat: &recordv1.NodeHeartbeat{Number: 1, Node: other.info}}})
		other.writer.HandleRestore(1)
		go other.follower.Run(ctx)
		time.Sleep(20 * time.Second)
		is.Equal(other.State(), StateServing)
		is.NoErr(other.Serving())
	})
}
