package daemon

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/httpapi"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/operator"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/reach"
	"lavenderpin.dev/lavenderpin/tcpconn"
	"lavenderpin.dev/lavenderpin/upstream"
)

// incarnationPollInterval is how long after an incarnation's end the next one is looked up.
const incarnationPollInterval = 50 * time.Millisecond

// operatorStopTimeout is how long operators' open requests may go on once the node has stopped.
const operatorStopTimeout = time.Second

// Config is what a daemon needs in addition to the node's settings.
type Config struct {
	Settings  node.Settings
	Log       ports.Log
	Instances ports.InstanceList
	Weights   ports.WeightStore
	PeerTLS   *tls.Config
	// OperatorTLS serves operators over TLS; if nil, they are served in plaintext.
	OperatorTLS *tls.Config
	Logger      log.Logger
	// Admin is the address that serves metrics (expvar); none if empty.
	Admin string
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// DialUpstreams opens direct connections to upstreams; if it is nil, over TCP.
	DialUpstreams tcpconn.DialFunc
	// WrapSocket, if not nil, wraps the peer socket, for example to count its traffic.
	WrapSocket func(net.PacketConn) net.PacketConn
	// Sockets that are already open are used; others are opened at the addresses in the
	// settings.
	Sockets Sockets
}

// Daemon runs a process's node and its listeners.
type Daemon struct {
	config    Config
	current   atomic.Pointer[node.Node]
	stopping  atomic.Bool
	delays    atomic.Pointer[delays]
	http      *httpapi.Server
	grpc      *grpc.Server
	peers     *peer.QUIC
	paths     *reach.Dialer
	upstreams *upstream.HTTPClient
	operators net.Listener
	admin     *http.Server
}

// New opens the listeners; Run serves on them.
func New(config Config) (*Daemon, error) {
	d := &Daemon{config: config}
	if err := config.Settings.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	sockets, err := config.Sockets.open(config.Settings)
	if err != nil {
		return nil, errors.Trace(err)
	}
	socket := sockets.Peers
	if config.WrapSocket != nil {
		socket = config.WrapSocket(socket)
	}
	d.peers = peer.NewQUIC(socket, config.PeerTLS)
	d.operators = sockets.Operators
	dial := config.DialUpstreams
	if dial == nil {
		dial = tcpconn.Dialer(tcpconn.ServerLimits)
	}
	d.paths = reach.NewDialer(reach.DefaultSettings(), reach.Location{DataCentre: config.Settings.DataCentre, Region: config.Settings.Region},
		reach.Deps{Clock: bootclock.System{}, Dial: dial, Tunnels: d.peers})
	d.upstreams, err = upstream.NewHTTPClient(d.paths.Dial)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := d.newIncarnation(); err != nil {
		return nil, errors.Trace(err)
	}
	d.http = httpapi.New(sockets.Callers, func() httpapi.Node { return d.Node() })
	d.grpc = newOperatorServer(operator.New(d.Node), config.OperatorTLS)
	return d, nil
}

func newOperatorServer(api *operator.Server, config *tls.Config) *grpc.Server {
	// The library sets a user timeout of its own on each connection unless it is given this one.
	limits := keepalive.ServerParameters{Time: tcpconn.CallerLimits.KeepAliveIdle, Timeout: tcpconn.CallerLimits.UserTimeout}
	options := []grpc.ServerOption{grpc.KeepaliveParams(limits), grpc.UnaryInterceptor(api.InterceptUnary), grpc.StreamInterceptor(api.InterceptStream)}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	server := grpc.NewServer(options...)
	api.Register(server)
	return server
}

// Node returns the current incarnation.
func (d *Daemon) Node() *node.Node { return d.current.Load() }

func (d *Daemon) newIncarnation() error {
	n, err := node.New(d.config.Settings, node.Deps{
		Clock: clockwork.NewRealClock(), Log: d.config.Log, Instances: d.config.Instances, Weights: d.config.Weights,
		Peers: d.peers, Upstreams: d.upstreams, Paths: d.paths, QueueDelay: d.queueDelay, Logger: d.config.Logger, NewIncarnation: uuid.NewString,
	})
	if err != nil {
		return errors.Trace(err)
	}
	d.current.Store(n)
	return nil
}

// Run serves until ctx ends, then shuts down gracefully without aborting any request.
func (d *Daemon) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer stop()
	wait.Go(func() { _ = d.peers.Serve(serving, d.handlePeer, d.paths.OpenFor) })
	wait.Go(func() { _ = d.http.Run() })
	wait.Go(func() { _ = d.grpc.Serve(d.operators) })
	d.serveAdmin(&wait)
	wait.Go(func() { d.runIncarnations(serving) })
	d.waitUntilLeaving(ctx)
	d.stopping.Store(true)
	d.shutdown()
	return nil
}

// waitUntilLeaving returns when ctx ends, or when the node has drained at the operators'
// request. A node that drained isn't replaced by a new incarnation.
func (d *Daemon) waitUntilLeaving(ctx context.Context) {
	for {
		n := d.Node()
		select {
		case <-ctx.Done():
			return
		case <-n.Drained():
			return
		case <-n.Closed():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(incarnationPollInterval):
		}
	}
}

// runIncarnations runs incarnations one after another: when the fleet closes one, a new one
// replaces it without operator intervention.
func (d *Daemon) runIncarnations(ctx context.Context) {
	for ctx.Err() == nil {
		stop := d.measureDelays(ctx, d.Node())
		err := d.Node().Run(ctx)
		stop()
		if !errors.Is(err, node.ErrClosed) || d.stopping.Load() {
			return
		}
		if err := d.newIncarnation(); err != nil {
			_ = level.Error(d.config.Logger).Log("msg", "failed to create a new incarnation", "err", err)
			return
		}
	}
}

func (d *Daemon) handlePeer(ctx context.Context, r *fleetv1.Request) *fleetv1.Response {
	return d.Node().HandlePeer(ctx, r)
}

func (d *Daemon) serveAdmin(wait *sync.WaitGroup) {
	if d.config.Admin == "" {
		return
	}
	expvar.Publish("lavenderpin", expvar.Func(func() any { return metricValues(d.Node()) }))
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	listener, err := tcpconn.Listen(d.config.Admin, tcpconn.CallerLimits)
	if err != nil {
		d.Node().Events().Record(event.MetricsAbsent, "address", d.config.Admin, "error", err)
		return
	}
	d.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	wait.Go(func() { _ = d.admin.Serve(listener) })
}

func metricValues(n *node.Node) map[string]any {
	values := map[string]any{}
	n.Metrics().Do(func(kv expvar.KeyValue) {
		if f, ok := kv.Value.(expvar.Func); ok {
			values[kv.Key] = f.Value()
		}
	})
	return values
}

func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), d.config.DrainTimeout)
	defer cancel()
	d.Node().Drain(ctx)
	_ = d.http.Shutdown(ctx)
	d.stopOperators(ctx)
	_ = d.peers.Close()
	d.upstreams.Close()
	if d.admin != nil {
		_ = d.admin.Close()
	}
}

// stopOperators waits for operators' open requests to end, then ends them: a watch doesn't end by
// itself.
func (d *Daemon) stopOperators(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operatorStopTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, d.grpc.Stop)()
	d.grpc.GracefulStop()
}
