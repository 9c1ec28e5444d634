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

// smallFleet is nodes in one process over stand-ins, in the fake time of a synctest
// bubble. It is the network between them too.
type smallFleet struct {
	t         *testing.T
	log       *standin.Log
	instances *standin.Instances
	policy    snapshot.Policy
	// list and upstreams, when set, take the place of instances and of no upstreams.
	list      ports.InstanceList
	upstreams upstream.Client

	mu    sync.Mutex
	count int
	alive map[string]*running
}

type running struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

func newSmallFleet(t *testing.T) *smallFleet {
	return &smallFleet{t: t, log: standin.NewLog(), instances: standin.NewInstances(),
		policy: snapshot.DefaultPolicy(), alive: map[string]*running{}}
}

// Call implements peer.Caller.
func (f *smallFleet) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	f.mu.Lock()
	n := f.alive[address]
	f.mu.Unlock()
	if n == nil {
		<-ctx.Done()
		return nil, errors.New("nobody there")
	}
	return n.HandlePeer(ctx, r), nil
}

func peerAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+i) }

func (f *smallFleet) start(i int) *running {
	settings := DefaultSettings()
	settings.Region, settings.DataCentre = "gulf-maine", "casco"
	settings.PeerAddress = peerAddress(i)
	settings.HTTPAddress = fmt.Sprintf("127.0.0.1:%d", 2000+i)
	settings.OperatorAddress = fmt.Sprintf("127.0.0.1:%d", 3000+i)
	settings.SnapshotPolicy = f.policy
	f.mu.Lock()
	f.count++
	name := fmt.Sprintf("n%d-%d", i, f.count)
	f.mu.Unlock()
	var list ports.InstanceList = f.instances
	if f.list != nil {
		list = f.list
	}
	n, err := New(settings, Deps{
		Clock: clockwork.NewRealClock(), Log: f.log, Instances: list, Peers: f, Upstreams: f.upstreams,
		Logger: golog.NewNopLogger(), NewIncarnation: func() string { return name },
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	r := &running{Node: n, cancel: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.alive[settings.PeerAddress] = r
	f.mu.Unlock()
	go func() {
		defer close(r.done)
		_ = n.Run(ctx)
	}()
	return r
}

func (f *smallFleet) startAll(count int) []*running {
	var nodes []*running
	for i := range count {
		nodes = append(nodes, f.start(i))
	}
	time.Sleep(20 * time.Second)
	return nodes
}

func (f *smallFleet) kill(r *running) {
	r.cancel()
	<-r.done
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.alive, r.info.GetPeerAddress())
}

func (r *running) change(base uint64, id string, change *operatorv1.Change) (fold.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	change.BaseVersion = base
	return r.LogWriter().Submit(&recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{
		ChangeId: id, Operator: "op", Changes: []*operatorv1.Change{change}}}}).Wait(ctx)
}

func account(name, team string) *operatorv1.Change {
	return &operatorv1.Change{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{
		Account: &operatorv1.Account{Name: name, Team: team}}}}
}

func drainOf(address string) *operatorv1.Change {
	return &operatorv1.Change{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Drain{
		Drain: &operatorv1.Drain{Name: address}}}}
}

// Two operators change the same account at the same time through different nodes. One
// must win, the other must be told the version that stands, and all nodes agree.
func TestConcurrentConfigChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newSmallFleet(t).startAll(3)
		first, err := nodes[0].change(0, "c0", account("moorwatch", "a"))
		is.NoErr(err)
		is.True(first.OK())
		verdicts := make([]fold.Verdict, 2)
		var wait sync.WaitGroup
		for i := range verdicts {
			wait.Go(func() {
				verdicts[i], _ = nodes[i].change(first.Version, fmt.Sprint("race", i), account("moorwatch", fmt.Sprint("team", i)))
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

// The log takes an operator's change and the answer is lost. The operator must be told
// that it was accepted, and sending it again must change nothing.
func TestLostAppendResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		nodes := f.startAll(3)
		f.log.DropResponses(3)
		verdict, err := nodes[1].change(0, "c1", account("moorwatch", "a"))
		is.NoErr(err)
		is.True(verdict.OK())
		again, err := nodes[2].change(0, "c1", account("moorwatch", "a"))
		is.NoErr(err)
		is.Equal(again, verdict)
		f.log.SetDown(true)
		_, err = nodes[0].change(verdict.Version, "c2", account("moorwatch", "b"))
		code := result.CodeOf(err)
		is.True(code == result.LogUnavailable || code == result.ChangeOutcomeOpen)
		f.log.SetDown(false)
		time.Sleep(20 * time.Second)
		settled, err := nodes[2].change(verdict.Version, "c2", account("moorwatch", "b"))
		is.NoErr(err)
		is.True(settled.OK()) // asked again, the operator learns what became of it
		for _, n := range nodes {
			time.Sleep(time.Second)
			is.Equal(n.Config().Account("moorwatch").GetTeam(), "b")
		}
	})
}

// Every instance of the fleet is lost at once, after the first records have aged out
// of the log. New instances must come back with all accounts from the log alone.
func TestFleetRestoresFromLogOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		f.policy = snapshot.Policy{Records: 20, Bytes: 1 << 30, Age: time.Hour}
		nodes := f.startAll(3)
		for i := range 30 {
			_, err := nodes[i%3].change(0, fmt.Sprint("c", i), account(fmt.Sprint("account", i), "team"))
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
			for i, held := range n.Config().All() {
				is.Equal(held.GetVersion(), want[i].GetVersion())
			}
		}
	})
}

// The log is down for longer than it keeps records. The first thing after it must be a
// snapshot, or a node that starts then finds nothing to start from.
func TestLogOutageLongerThanRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		f.policy.Age = 4 * time.Minute
		nodes := f.startAll(3)
		_, err := nodes[0].change(0, "c", account("moorwatch", "a"))
		is.NoErr(err)
		f.log.SetDown(true)
		f.log.SetRetention(1)
		time.Sleep(5 * time.Minute)
		f.log.SetDown(false)
		_, err = f.log.Append(t.Context(), "fleet", nil) // drops all records before it
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

// An instance starts while the log is down. It must take what its peers hold before it
// serves; one that reaches nobody must refuse and say why.
func TestNodeStartsDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		nodes := f.startAll(3)
		_, err := nodes[0].change(0, "c", account("moorwatch", "a"))
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

// An operator drains a node, and takes the order back for the instance that starts at
// the same address. The node must leave by itself, and the new one must not serve early.
func TestOperatorDrainsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		nodes := f.startAll(3)
		verdict, err := nodes[0].change(0, "d", drainOf(peerAddress(2)))
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
		back := drainOf(peerAddress(2))
		back.Delete = true
		_, err = nodes[0].change(verdict.Version, "back", back)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		is.Equal(fresh.State(), StateServing)
		list, _ := nodes[0].Addresses("")
		is.Equal(len(list), 3)
	})
}

// The platform's list shows an upstream as leaving, then drops it. From three seconds
// after it showed it no request may be sent there, also while the list is down.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		nodes := f.startAll(2)
		engines := []*operatorv1.Upstream{{Name: "e1", Address: "127.0.0.1:1"}, {Name: "e2", Address: "127.0.0.1:2"}}
		is.Equal(len(nodes[0].staying(engines)), 2)
		list := func(state platformv1.InstanceState) {
			f.instances.Set([]*platformv1.Instance{{Address: "127.0.0.1:1", Role: "upstream", State: state}})
		}
		list(platformv1.InstanceState_INSTANCE_STATE_LEAVING)
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			is.Equal(n.staying(engines), engines[1:])
		}
		f.instances.SetDown(true)
		time.Sleep(time.Minute)
		is.Equal(nodes[0].staying(engines), engines[1:])
		f.instances.SetDown(false)
		f.instances.Set(nil)
		time.Sleep(time.Minute)
		is.Equal(nodes[0].staying(engines), engines[1:]) // gone, not back
		list(platformv1.InstanceState_INSTANCE_STATE_LIVE)
		time.Sleep(3 * time.Second)
		is.Equal(len(nodes[0].staying(engines)), 2)
	})
}

// A node starts, its first heartbeat goes into the log, and a snapshot that holds it
// already is what the node folds first. The verdict on the heartbeat is lost then; the
// node must serve with the next one rather than stay "starting" for ever.
func TestFirstHeartbeatWithinSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		settings := DefaultSettings()
		settings.Region, settings.DataCentre = "gulf-maine", "casco"
		settings.PeerAddress, settings.HTTPAddress, settings.OperatorAddress = peerAddress(1), peerAddress(2), peerAddress(3)
		other, err := New(settings, Deps{Clock: clockwork.NewRealClock(), Log: f.log, Instances: f.instances, Peers: f,
			Logger: golog.NewNopLogger(), NewIncarnation: func() string { return "late" }})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go other.writer.Run(ctx)
		go other.heartbeats(ctx)
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
