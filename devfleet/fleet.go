package devfleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
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
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/tlskeys"

	"github.com/jonboulle/clockwork"
)

const (
	// OperatorToken works on every node of a development fleet.
	OperatorToken = "dev-operator"
	keyValidity   = 365 * 24 * time.Hour
	startTimeout  = 20 * time.Second
	startPoll     = 20 * time.Millisecond
	// devAddressLifetime keeps the stop of a development fleet short.
	devAddressLifetime = 200 * time.Millisecond
)

// Location is where a node or an upstream stands.
type Location struct{ Region, DataCentre string }

// Options describes the fleet wanted.
type Options struct {
	Nodes         []Location
	Engines       []Location
	PlainServices []Location
	Engine        standin.EngineOptions
	// PlainDelay is how long each call of a plain service takes.
	PlainDelay time.Duration
	Logger     log.Logger
	// AdjustSettings changes a node's settings before it starts; may be nil.
	AdjustSettings func(*node.Settings)
	// WrapLog and WrapSocket may replace what a node reaches the world through, to
	// count what passes; nil keeps it.
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

	secret    []byte
	options   Options
	authority tlskeys.KeyPair
	stops     []context.CancelFunc
	ended     []chan struct{}
	nodes     sync.WaitGroup
	upstreams sync.WaitGroup
}

// Start starts a fleet; Stop ends it.
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
	for _, place := range options.Nodes {
		if err := f.startNode(place); err != nil {
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
	for i, place := range options.Engines {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		engine := standin.NewEngine(listener, options.Engine)
		f.Engines = append(f.Engines, engine)
		f.EngineUpstreams = append(f.EngineUpstreams, declare(fmt.Sprintf("engine-%d", i), "chat", listener, place))
		f.upstreams.Go(func() { _ = engine.Run() })
	}
	for i, place := range options.PlainServices {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		service := standin.NewService(listener, options.PlainDelay)
		f.PlainServices = append(f.PlainServices, service)
		f.PlainUpstreams = append(f.PlainUpstreams, declare(fmt.Sprintf("plain-%d", i), "orders", listener, place))
		f.upstreams.Go(func() { _ = service.Run() })
	}
	return nil
}

func declare(name, service string, listener net.Listener, place Location) *operatorv1.Upstream {
	return &operatorv1.Upstream{Name: name, Service: service, Address: listener.Addr().String(),
		Region: place.Region, DataCentre: place.DataCentre}
}

func (f *Fleet) startNode(place Location) error {
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
	settings.Region, settings.DataCentre = place.Region, place.DataCentre
	settings.TokenSecret = f.secret
	settings.BootstrapTokenSHA256 = config.HashKey(OperatorToken)
	sockets, err := openSockets(&settings)
	if err != nil {
		return errors.Trace(err)
	}
	settings.AddressLifetime = devAddressLifetime
	if options.AdjustSettings != nil {
		options.AdjustSettings(&settings)
	}
	logger := options.Logger
	if logger == nil {
		logger = log.NewNopLogger()
	}
	wanted := daemon.Config{
		Settings: settings, Log: f.Log, Instances: f.Instances,
		Weights: standin.NewWeights(clockwork.NewRealClock(), time.Second),
		PeerTLS: peerTLS, Logger: logger, DrainTimeout: time.Minute, Sockets: sockets,
	}
	if options.WrapLog != nil {
		wanted.Log = options.WrapLog(place, f.Log)
	}
	if options.WrapSocket != nil {
		wanted.WrapSocket = func(socket net.PacketConn) net.PacketConn { return options.WrapSocket(place, socket) }
	}
	d, err := daemon.New(wanted)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.Daemons = append(f.Daemons, d)
	f.stops = append(f.stops, stop)
	ended := make(chan struct{})
	f.ended = append(f.ended, ended)
	f.nodes.Go(func() {
		defer close(ended)
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
			time.Sleep(startPoll)
		}
	}
	return f.awaitAddresses(deadline)
}

// awaitAddresses waits until every node hands out the addresses of all.
func (f *Fleet) awaitAddresses(deadline time.Time) error {
	for _, d := range f.Daemons {
		for {
			list, _ := d.Node().Addresses("")
			if len(list) == len(f.Daemons) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("node %s hands out %d of %d addresses", d.Node().Incarnation(), len(list), len(f.Daemons))
			}
			time.Sleep(startPoll)
		}
	}
	return nil
}

// DialOperator returns a connection to the operator API of a node.
func (f *Fleet) DialOperator(i int) (*grpc.ClientConn, error) {
	address := f.Daemons[i].Node().Settings().OperatorAddress
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// Stop ends all nodes gracefully and the stand-ins after them.
func (f *Fleet) Stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.nodes.Wait()
	for _, engine := range f.Engines {
		engine.Close()
	}
	for _, service := range f.PlainServices {
		service.Close()
	}
	f.upstreams.Wait()
}
