package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/tlskeys"
)

const (
	keyValidity  = 24 * time.Hour
	startTimeout = 5 * time.Minute
	startPoll    = 50 * time.Millisecond
	startAtOnce  = 20
)

// places spreads the nodes as today's fleets are: four of seven in the region of
// the log, over two data centres, three in the other region.
var places = []struct{ region, centre string }{
	{"cz-bohemia", "praha-a"}, {"cz-morava", "brno-a"}, {"cz-bohemia", "plzen-a"}, {"cz-morava", "brno-a"},
	{"cz-bohemia", "praha-a"}, {"cz-morava", "brno-a"}, {"cz-bohemia", "plzen-a"},
}

const logRegion = "cz-bohemia"

// Cluster is a running fleet without callers.
type Cluster struct {
	Log   *standin.Log
	Nodes []*node.Node

	sockets []*countingConn
	logs    []*countingLog
	callers []*countingCaller
	regions sync.Map // from socket address to region
	// delay is how long the way between the regions takes.
	delay     time.Duration
	crossings *crossings
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// Start starts a fleet whose regions are a delay apart, and waits until every node hands
// out the addresses of all.
func Start(count int, delay time.Duration) (*Cluster, error) {
	authority, err := tlskeys.NewAuthority(time.Now(), keyValidity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{Log: standin.NewLog(), cancel: cancel, delay: delay, crossings: &crossings{times: map[string]int{}}}
	for i := range count {
		if err := c.start(ctx, authority, i); err != nil {
			c.Stop()
			return nil, errors.Trace(err)
		}
		if i%startAtOnce == startAtOnce-1 {
			time.Sleep(startPoll)
		}
	}
	if err := c.await(); err != nil {
		c.Stop()
		return nil, errors.Trace(err)
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, authority tlskeys.KeyPair, i int) error {
	pair, err := authority.Issue(time.Now(), keyValidity)
	if err != nil {
		return errors.Trace(err)
	}
	peerTLS, err := tlskeys.PeerConfig(authority.Cert, pair)
	if err != nil {
		return errors.Trace(err)
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	place := places[i%len(places)]
	c.regions.Store(udp.LocalAddr().String(), place.region)
	remote := func(address string) bool {
		region, known := c.regions.Load(address)
		return known && region != place.region
	}
	socket := &countingConn{PacketConn: udp, remote: func(to net.Addr) bool { return remote(to.String()) }, delay: c.delay}
	counted := &countingLog{Log: c.Log}
	if place.region != logRegion {
		counted.delay, counted.crossings = c.delay, c.crossings
	}
	transport := peer.NewQUIC(socket, peerTLS)
	caller := &countingCaller{Caller: transport, remote: remote, crossings: c.crossings}
	settings := node.DefaultSettings()
	settings.Region, settings.DataCentre = place.region, place.centre
	settings.PeerAddress = udp.LocalAddr().String()
	settings.HTTPAddress = fmt.Sprintf("127.0.0.1:%d", 20000+i)
	settings.OperatorAddress = fmt.Sprintf("127.0.0.1:%d", 30000+i)
	n, err := node.New(settings, node.Deps{
		Clock: clockwork.NewRealClock(), Log: counted, Instances: standin.NewInstances(), Peers: caller,
		Logger: log.NewNopLogger(), NewIncarnation: uuid.NewString,
	})
	if err != nil {
		return errors.Trace(err)
	}
	c.Nodes = append(c.Nodes, n)
	c.sockets = append(c.sockets, socket)
	c.logs = append(c.logs, counted)
	c.callers = append(c.callers, caller)
	c.running.Go(func() { _ = transport.Serve(ctx, n.HandlePeer) })
	c.running.Go(func() {
		_ = n.Run(ctx)
		_ = transport.Close()
	})
	return nil
}

func (c *Cluster) await() error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range c.Nodes {
		for {
			list, _ := n.Addresses("")
			if len(list) == len(c.Nodes) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("a node hands out %d of %d addresses after %s", len(list), len(c.Nodes), startTimeout)
			}
			time.Sleep(startPoll)
		}
	}
	return nil
}

// Stop ends all nodes at once.
func (c *Cluster) Stop() {
	c.cancel()
	c.running.Wait()
}
