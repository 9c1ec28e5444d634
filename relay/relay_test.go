package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/recordlog"
)

const (
	home   = "cz-bohemia"
	remote = "cz-morava"
)

// group is followers that relay to each other in the fake time of a synctest bubble.
// It counts the records that cross between the regions; the log stands in home.
type group struct {
	t   *testing.T
	log *standin.Log

	mu      sync.Mutex
	members map[string]*member
	cut     map[string]bool
	dead    string
	crossed int
	calls   int
}

type member struct {
	peer     Peer
	follower *recordlog.Follower
	server   *Server
	cancel   context.CancelFunc
}

func newGroup(t *testing.T) *group {
	return &group{t: t, log: standin.NewLog(), members: map[string]*member{}, cut: map[string]bool{}}
}

// logFrom is the log as a member of a region reads it.
type logFrom struct {
	ports.Log
	group  *group
	member Peer
}

func (l logFrom) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	if l.group.isCut(l.member.Address) {
		<-ctx.Done()
		return ports.ReadResult{}, ctx.Err()
	}
	slice, err := l.Log.Read(ctx, stream, from, max, wait)
	l.group.count(home, l.member.Region, len(slice.Records))
	return slice, err
}

func (g *group) isCut(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[address]
}

func (g *group) setCut(address string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[address] = cut
}

func (g *group) count(from, to string, records int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if from != to {
		g.crossed += records
	}
}

// callerOf is the peer transport of one member.
type callerOf struct {
	group *group
	self  Peer
}

func (c callerOf) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	c.group.mu.Lock()
	to, dead := c.group.members[address], address == c.group.dead
	c.group.calls++
	c.group.mu.Unlock()
	if to == nil || dead {
		<-ctx.Done()
		return nil, errors.New("nobody there")
	}
	if err := travel(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	slice, err := to.server.HandleLogRead(ctx, r.GetLogRead())
	if err != nil {
		return nil, err
	}
	if err := travel(ctx, 2*time.Millisecond); err != nil {
		return nil, err
	}
	c.group.count(to.peer.Region, c.self.Region, len(slice.GetRecords()))
	return &fleetv1.Response{Body: &fleetv1.Response_LogSlice{LogSlice: slice}}, nil
}

// travel is the way of a message.
func travel(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

func (g *group) start(name, region, centre string, peers func() []Peer) *member {
	clock := clockwork.NewRealClock()
	self := Peer{Incarnation: name, Address: name, Region: region, DataCentre: centre, Offset: 1}
	if peers == nil {
		peers = func() []Peer { return g.others(name) }
	}
	source := &Source{
		Self: self, Log: recordlog.NewLogSource(logFrom{g.log, g, self}, "fleet"), Caller: callerOf{g, self}, Clock: clock,
		Events: event.NewRecorder(event.NewHLC(clock), name, 100, golog.NewNopLogger()), Peers: peers,
	}
	m := &member{peer: self, follower: recordlog.NewSourceFollower(source, clock, fold.NewEngine())}
	m.server = NewServer(m.follower, source, clock)
	ctx, cancel := context.WithCancel(g.t.Context())
	m.cancel = cancel
	g.mu.Lock()
	g.members[name] = m
	g.mu.Unlock()
	go m.follower.Run(ctx)
	return m
}

func (g *group) others(name string) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []Peer
	for _, m := range g.members {
		if m.peer.Incarnation != name {
			others = append(others, m.peer)
		}
	}
	return others
}

func (g *group) startAll() []*member {
	var members []*member
	for i, centre := range []string{"praha-a", "praha-a", "plzen-a", "plzen-a"} {
		members = append(members, g.start(fmt.Sprint("h", i), home, centre, nil))
	}
	for i := range 3 {
		members = append(members, g.start(fmt.Sprint("r", i), remote, "brno-a", nil))
	}
	time.Sleep(2 * avoidPeer) // those that start first find nobody to read from
	return members
}

func (g *group) append(is *is.I, n int) {
	is.Helper()
	for i := range n {
		data, err := proto.Marshal(&recordv1.Batch{Writer: fmt.Sprint("w", i), Seq: 1})
		is.NoErr(err)
		_, err = g.log.Append(context.Background(), "fleet", data)
		is.NoErr(err)
	}
}

func (g *group) reader(region string) *member {
	for _, m := range g.members {
		if m.peer.Region == region {
			if _, relayed := readsFrom(m.peer, g.others(m.peer.Incarnation)); !relayed {
				return m
			}
		}
	}
	return nil
}

// Changes are made while all is well. The link between the regions is narrow and billed
// by volume: each change must cross it once, not once for every node there.
func TestChangeCrossesRegionLinkOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t)
		members := g.startAll()
		for range 50 {
			g.append(is, 1)
			time.Sleep(100 * time.Millisecond)
		}
		for _, m := range members {
			is.Equal(m.follower.Offset(), uint64(50))
		}
		is.Equal(g.crossed, 50)
	})
}

// Nothing happens for minutes in a deep tree of readers. Were the waits of the hops added
// up, the lowest nodes would take the log as silent, and read it by themselves over the
// narrow link; and each read is paid for in bytes, so there must be one a wait.
func TestIdleReadTreeStaysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t)
		for i := range 60 {
			g.start(fmt.Sprint("r", i), remote, "brno-a", nil)
		}
		time.Sleep(2 * avoidPeer)
		g.mu.Lock()
		before := g.calls
		g.mu.Unlock()
		for range 100 {
			time.Sleep(700 * time.Millisecond)
			for _, m := range g.members {
				is.True(m.follower.SinceRead() <= idleWait+answerTime)
			}
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		is.True(g.calls-before <= 59*(70+1))
	})
}

// The log fails for minutes, and they read from each other. An answer that
// brings nothing must not wake those who wait for the node that got it, or they wake each
// other as fast as the network goes and spend their processors and the link on it.
func TestLogOutageDoesNotBusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t)
		members := g.startAll()
		g.append(is, 1)
		time.Sleep(time.Second)
		g.log.SetDown(true)
		time.Sleep(10 * time.Second)
		g.mu.Lock()
		before := g.calls
		g.mu.Unlock()
		time.Sleep(time.Minute)
		g.mu.Lock()
		defer g.mu.Unlock()
		is.True(g.calls-before <= 3*60*len(members))
	})
}

// The node that reads the log for its region dies, and another one is cut from the log
// but still answers its peers. The others must get the changes by themselves, soon.
func TestRegionReaderDeadOrCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t)
		members := g.startAll()
		dead, lagging := g.reader(remote), g.reader(home)
		dead.cancel()
		g.mu.Lock()
		g.dead = dead.peer.Address // the others still take it as alive
		g.mu.Unlock()
		g.setCut(lagging.peer.Address, true)
		g.append(is, 5)
		time.Sleep(8 * time.Second)
		for _, m := range members {
			if m != dead {
				is.Equal(m.follower.Offset(), uint64(5)) // the cut one gets them from its peers
			}
		}
	})
}

// Two nodes have different views of the members, so that each reads from the other.
// Neither would ever hear of a change again, and both would look healthy.
func TestReadCycleFallsBackToLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t)
		// Each knows the other under a name that ranks before its own.
		before := func(name, address string) func() []Peer {
			for i := 0; ; i++ {
				alias := Peer{Incarnation: fmt.Sprint("alias", i), Address: address, Region: home, DataCentre: "praha-a", Offset: 1}
				self := Peer{Incarnation: name, Region: home, DataCentre: "praha-a"}
				if _, relayed := readsFrom(self, []Peer{alias}); relayed {
					return func() []Peer { return []Peer{alias} }
				}
			}
		}
		one := g.start("one", home, "praha-a", before("one", "two"))
		two := g.start("two", home, "praha-a", before("two", "one"))
		time.Sleep(time.Minute)
		g.append(is, 3)
		time.Sleep(8 * time.Second)
		is.Equal(one.follower.Offset(), uint64(3))
		is.Equal(two.follower.Offset(), uint64(3))
	})
}
