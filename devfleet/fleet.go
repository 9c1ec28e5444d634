package devfleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/daemon"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/tlskeys"

	"github.com/jonboulle/clockwork"
)

const (
	// OperatorToken is the bootstrap token of every node of a development fleet.
	OperatorToken = "dev-operator"
	keyValidity   = 365 * 24 * time.Hour
	startTimeout  = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
	// addressLifetime is short so that a development fleet stops quickly.
	addressLifetime     = 200 * time.Millisecond
	defaultDrainTimeout = time.Minute
)

// Location is the region and data centre of a node or an upstream.
type Location struct{ Region, DataCentre string }

// Options configures a fleet.
type Options struct {
	Nodes         []Location
	Engines       []Location
	PlainServices []Location
	Engine        standin.EngineOptions
	// PlainDelay is the duration of each call of a plain service.
	PlainDelay time.Duration
	// DrainTimeout bounds the graceful shutdown of a node; defaultDrainTimeout if zero.
	DrainTimeout time.Duration
	Logger       log.Logger
	// AdjustSettings modifies a node's settings before it starts; may be nil.
	AdjustSettings func(*node.Settings)
	// WrapLog and WrapSocket, if not nil, wrap a node's log client and peer socket, for
	// example to count traffic.
	WrapLog    func(Location, ports.Log) ports.Log
	WrapSocket func(Location, net.PacketConn) net.PacketConn
}

// Fleet is a running development fleet.
type Fleet struct {
	Log           *standin.Log
	Instances     *standin.Instances
	Daemons       []*daemon.Daemon
	Engines       []*standin.Engine
	PlainServices []*standin.Service

	EngineUpstreams []*operatorv1.Upstream
	PlainUpstreams  []*operatorv1.Upstream

	secret        []byte
	options       Options
	authority     tlskeys.KeyPair
	cancels       []context.CancelFunc
	stopped       []chan struct{}
	nodeGroup     sync.WaitGroup
	upstreamGroup sync.WaitGroup
}

// Start starts a fleet and waits until all nodes serve; Stop ends it.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{Log: standin.NewLog(), Instances: standin.NewInstances(), secret: make([]byte, signed.MinSecretLen)}
	_, _ = rand.Read(f.secret)
	if err := f.startUpstreams(options); err != nil {
		f.Stop()
		return nil, errors.Trace(err)
	}
	authority, err := tlskeys.NewAuthority(time.Now(), keyValidity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	f.options, f.authority = options, authority
	for _, location := range options.Nodes {
		if err := f.startNode(location); err != nil {
			f.Stop()
			return nil, errors.Trace(err)
		}
	}
	if err := f.awaitServing(); err != nil {
		f.Stop()
		return nil, errors.Trace(err)
	}
	return f, nil
}

func (f *Fleet) startUpstreams(options Options) error {
	for i, location := range options.Engines {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		engine := standin.NewEngine(listener, options.Engine)
		f.Engines = append(f.Engines, engine)
		f.EngineUpstreams = append(f.EngineUpstreams, newUpstream(fmt.Sprintf("engine-%d", i), "chat", listener, location))
		f.upstreamGroup.Go(func() { _ = engine.Run() })
	}
	for i, location := range options.PlainServices {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		service := standin.NewService(listener, options.PlainDelay)
		f.PlainServices = append(f.PlainServices, service)
		f.PlainUpstreams = append(f.PlainUpstreams, newUpstream(fmt.Sprintf("plain-%d", i), "orders", listener, location))
		f.upstreamGroup.Go(func() { _ = service.Run() })
	}
	return nil
}

func newUpstream(name, service string, listener net.Listener, location Location) *operatorv1.Upstream {
	return &operatorv1.Upstream{Name: name, Service: service, Address: listener.Addr().String(),
		Region: location.Region, DataCentre: location.DataCentre}
}

func (f *Fleet) startNode(location Location) error {
	options, authority := f.options, f.authority
	pair, err := authority.Issue(time.Now(), keyValidity)
	if err != nil {
		return errors.Trace(err)
	}
	peerTLS, err := tlskeys.PeerConfig(authority.Cert, pair)
	if err != nil {
		return errors.Trace(err)
	}
	settings := node.DefaultSettings()
	settings.Region, settings.DataCentre = location.Region, location.DataCentre
	settings.TokenSecret = f.secret
	settings.BootstrapTokenSHA256 = config.HashKey(OperatorToken)
	sockets, err := openSockets(&settings)
	if err != nil {
		return errors.Trace(err)
	}
	settings.AddressLifetime = addressLifetime
	if options.AdjustSettings != nil {
		options.AdjustSettings(&settings)
	}
	logger := options.Logger
	if logger == nil {
		logger = log.NewNopLogger()
	}
	daemonConfig := daemon.Config{
		Settings: settings, Log: f.Log, Instances: f.Instances,
		Weights: standin.NewWeights(clockwork.NewRealClock(), time.Second),
		PeerTLS: peerTLS, Logger: logger, DrainTimeout: cmp.Or(options.DrainTimeout, defaultDrainTimeout), Sockets: sockets,
	}
	if options.WrapLog != nil {
		daemonConfig.Log = options.WrapLog(location, f.Log)
	}
	if options.WrapSocket != nil {
		daemonConfig.WrapSocket = func(socket net.PacketConn) net.PacketConn { return options.WrapSocket(location, socket) }
	}
	d, err := daemon.New(daemonConfig)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.Daemons = append(f.Daemons, d)
	f.cancels = append(f.cancels, cancel)
	stopped := make(chan struct{})
	f.stopped = append(f.stopped, stopped)
	f.nodeGroup.Go(func() {
		defer close(stopped)
		_ = d.Run(ctx)
	})
	return nil
}

func (f *Fleet) awaitServing() error {
	deadline := time.Now().Add(startTimeout)
	for _, d := range f.Daemons {
		for d.Node().State() != node.StateServing {
			if time.Now().After(deadline) {
				return errors.Errorf("node %s is still %s", d.Node().Incarnation(), d.Node().State())
			}
			time.Sleep(pollInterval)
		}
	}
	return f.awaitAddresses(deadline)
}

// awaitAddresses waits until every node advertises the addresses of all nodes.
func (f *Fleet) awaitAddresses(deadline time.Time) error {
	for _, d := range f.Daemons {
		for {
			list, _ := d.Node().Addresses("")
			if len(list) == len(f.Daemons) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("node %s advertises %d of %d addresses; it knows%s", d.Node().Incarnation(), len(list), len(f.Daemons), describeMembers(d.Node().Members().All()))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// describeMembers tells of each member whether it is advertised or why not.
func describeMembers(members []membership.Member) string {
	var s strings.Builder
	for _, m := range members {
		fmt.Fprintf(&s, " %s (draining %t, suspect %t, damped %t)", m.Node.GetIncarnation(), m.Draining, m.Suspect, m.Damped)
	}
	return s.String()
}

// DialOperator returns a connection to the operator API of a node.
func (f *Fleet) DialOperator(i int) (*grpc.ClientConn, error) {
	address := f.Daemons[i].Node().Settings().OperatorAddress
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// Stop stops all nodes gracefully, then the simulated upstreams.
func (f *Fleet) Stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.nodeGroup.Wait()
	for _, engine := range f.Engines {
		engine.Close()
	}
	for _, service := range f.PlainServices {
		service.Close()
	}
	f.upstreamGroup.Wait()
}
