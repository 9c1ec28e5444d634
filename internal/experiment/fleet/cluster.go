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
	startBatch   = 20
)

// locations distributes the nodes like current deployments: four of seven in the region
// of the log, over two data centres, and three in the other region.
var locations = []struct{ region, centre string }{
	{"cz-bohemia", "praha-a"}, {"cz-morava", "brno-a"}, {"cz-bohemia", "plzen-a"}, {"cz-morava", "brno-a"},
	{"cz-bohemia", "praha-a"}, {"cz-morava", "brno-a"}, {"cz-bohemia", "plzen-a"},
}

const logRegion = "cz-bohemia"

// Cluster is a running fleet without client traffic.
type Cluster struct {
	Log   *standin.Log
	Nodes []*node.Node

	sockets []*countingConn
	logs    []*countingLog
	callers []*countingCaller
	regions sync.Map // from socket address to region
	// delay is the one-way latency between the regions.
	delay       time.Duration
	changeReads *changeReads
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// Start starts a fleet with the given one-way latency between its regions, and waits until
// every node returns the addresses of all nodes.
func Start(count int, delay time.Duration) (*Cluster, error) {
	authority, err := tlskeys.NewAuthority(time.Now(), keyValidity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{Log: standin.NewLog(), cancel: cancel, delay: delay, changeReads: &changeReads{reads: map[string]int{}}}
	for i := range count {
		if err := c.startNode(ctx, authority, i); err != nil {
			c.Stop()
			return nil, errors.Trace(err)
		}
		if i%startBatch == startBatch-1 {
			time.Sleep(startPoll)
		}
	}
	if err := c.awaitAddresses(); err != nil {
		c.Stop()
		return nil, errors.Trace(err)
	}
	return c, nil
}

func (c *Cluster) startNode(ctx context.Context, authority tlskeys.KeyPair, i int) error {
	pair, err := authority.Issue(time.Now(), keyValidity)
	if err != nil {
		return errors.Trace(err)
	}
	peerTLS, err := tlskeys.PeerConfig(authority.Cert, pair)
	if err != nil {
		return errors.Trace(err)
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	location := locations[i%len(locations)]
	c.regions.Store(conn.LocalAddr().String(), location.region)
	remote := func(address string) bool {
		region, known := c.regions.Load(address)
		return known && region != location.region
	}
	socket := &countingConn{PacketConn: conn, remote: func(to net.Addr) bool { return remote(to.String()) }, delay: c.delay}
	counted := &countingLog{Log: c.Log}
	if location.region != logRegion {
		counted.delay, counted.changeReads = c.delay, c.changeReads
	}
	transport := peer.NewQUIC(socket, peerTLS)
	caller := &countingCaller{Caller: transport, remote: remote, changeReads: c.changeReads}
	settings := node.DefaultSettings()
	settings.Region, settings.DataCentre = location.region, location.centre
	settings.PeerAddress = conn.LocalAddr().String()
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
	c.wg.Go(func() { _ = transport.Serve(ctx, n.HandlePeer, nil) })
	c.wg.Go(func() {
		_ = n.Run(ctx)
		_ = transport.Close()
	})
	return nil
}

func (c *Cluster) awaitAddresses() error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range c.Nodes {
		for {
			list, _ := n.Addresses("")
			if len(list) == len(c.Nodes) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("node returns %d of %d addresses after %s", len(list), len(c.Nodes), startTimeout)
			}
			time.Sleep(startPoll)
		}
	}
	return nil
}

// Stop stops all nodes at the same time and waits for them.
func (c *Cluster) Stop() {
	c.cancel()
	c.wg.Wait()
}
