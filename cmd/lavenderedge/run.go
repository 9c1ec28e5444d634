package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/allotment"
	"lavenderpin.dev/lavenderpin/bodybuffer"
	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/edgenode"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gateway"
	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/logsink"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/platform"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/processlag"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/reach"
	"lavenderpin.dev/lavenderpin/repeats"
	"lavenderpin.dev/lavenderpin/streamorigin"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

const (
	// memoryLimitFraction is the fraction of the instance's memory that the Go runtime may use
	// before the garbage collector runs more often.
	memoryLimitFraction = 0.5
	// eventCapacity is how many events are kept for the timeline.
	eventCapacity = 256
	// addressTTL is how long callers may cache addresses: shorter than the platform allows,
	// so that they soon stop using a node that shuts down.
	addressTTL = 2 * time.Second
	// idleTimeout closes idle connections, those that haven't brought a request yet as well: HTTP clients open some ahead, and
	// don't repeat a request that a new connection failed. Callers may reuse one for four fifths of the operators' limit, which is
	// below this value.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 64 << 10
)

// process holds the node that this process runs, and its servers and clients.
type process struct {
	settings platform.Settings
	// metricsPort serves only the metrics; 0 disables it.
	metricsPort int
	// publishMetrics registers the metrics with expvar, which a process can do only once.
	publishMetrics bool
	events         *event.Recorder
	clock          bootclock.System
	node           *edgenode.Node
	upstreams      *platform.UpstreamClient
	paths          *reach.Dialer
	peerClient     *httpwire.Client
	exchangeClient *httpwire.Client
	frontend       *http.Server
	inFlight       inFlightRequests
	// meter counts the bytes of all connections.
	meter   tcpconn.Meter
	callers *callerConns
	guard   atomic.Pointer[callerGuard]
	// crowding is nil unless the settings have the node refuse requests while it is crowded.
	crowding *crowding
	// endRequests cancels the contexts of all open requests.
	endRequests context.CancelCauseFunc
}

func run(c cli) error {
	settings, err := platform.LoadSettings(c.Config)
	if err != nil {
		return errors.Trace(err)
	}
	if c.Check {
		fmt.Println("settings are valid")
		return nil
	}
	if c.BlockedParts || c.LiftPart != "" {
		return administerParts(settings, c.LiftPart)
	}
	logWriter := logsink.New(os.Stdout)
	defer func() { _ = logWriter.Close() }()
	p := &process{settings: settings, metricsPort: c.MetricsPort, publishMetrics: true, events: newRecorder(settings, logWriter)}
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Limits.MemoryMB) * (1 << 20)))
	}
	return p.run(c.Config)
}

func newRecorder(settings platform.Settings, logWriter *logsink.Writer) *event.Recorder {
	logger := log.With(log.NewLogfmtLogger(logWriter), "ts", log.DefaultTimestampUTC)
	return event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), settings.Node, eventCapacity, logger)
}

func (p *process) run(path string) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	incarnation := newIncarnation()
	start := prepaid.ProcessStart{ClockReading: p.clocks().Read(), BootID: bootID(), FleetIsNew: p.settings.FleetIsNew}
	p.events.Record(event.NodeStarting, "incarnation", incarnation, "data_centre", p.settings.DataCentre, "memory_mb", p.settings.Limits.MemoryMB, "cores", p.settings.Limits.Cores, "link_mbps", p.settings.Limits.LinkMbps, "boot_clock", start.Boot, "boot", start.BootID)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startCtx, cancelStart := context.WithCancel(ctx)
	defer cancelStart()
	started := make(chan error, 1)
	go func() { started <- p.startNode(ctx, startCtx, incarnation, start) }()
	return p.serve(lifecycle{started: started, cancelStart: cancelStart, signals: signals, reload: func() { p.reload(path) }, drain: p.drain})
}

func (p *process) clocks() prepaid.Clocks {
	return prepaid.Clocks{Boot: p.clock, Wall: clockwork.NewRealClock()}
}

func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// bootID returns the ID of the instance's boot, or "" if the kernel doesn't provide one.
func bootID() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

// startNode starts the node and its listeners, unless startCtx is canceled before any of them
// listens.
func (p *process) startNode(ctx, startCtx context.Context, incarnation string, start prepaid.ProcessStart) error {
	dial, err := dialerOf(&p.settings)
	if err != nil {
		return errors.Trace(err)
	}
	dial = p.meter.Dial(dial)
	store := platform.NewStore(p.settings.Store.Address, p.clock, dial)
	calls := new(expvar.Map).Init()
	p.publish("store_calls", calls)
	store.OnCall = func(call string, status int) { calls.Add(fmt.Sprintf("%s_%d", call, status), 1) }
	store.OnInvalidRecord = func(topic, key string, offset int64, err error) {
		p.events.Record(event.BatchVoid, "topic", topic, "key", key, "offset", offset, "error", err)
	}
	dials := new(expvar.Int)
	p.publish("upstream_connections_made", dials)
	p.peerClient = httpwire.NewClient(httpwire.Options{Clock: p.clock, Dial: dial, DialTimeout: peerDialTimeout})
	p.paths = reach.NewDialer(reach.DefaultSettings(), reach.Location{DataCentre: p.settings.DataCentre, Region: p.settings.Region},
		reach.Deps{Clock: p.clock, Dial: dial, Tunnels: &reach.ConnectClient{Dial: dial}})
	lag := processlag.NewMonitor(p.clock, p.events)
	p.publish("processor_wait_ms", lag.Measured())
	go lag.Run(ctx)
	delay := p.newDelayMonitor(dial)
	p.upstreams = platform.NewUpstreamClient(p.clock, p.paths.Dial, func() { dials.Add(1) })
	p.crowding = p.newCrowding(delay, lag.Lag)
	bodies := bodybuffer.NewPoolFor(int64(p.settings.Limits.MemoryMB * (1 << 20)))
	node, err := edgenode.Start(startCtx, edgenode.Settings{
		Node: p.settings.Node, Incarnation: incarnation, Start: start,
		Address: p.settings.Frontend, Peer: p.peerAddress(), Capacity: capacityPercent(p.settings.Limits), DataCentre: p.settings.DataCentre, Region: p.settings.Region, Regions: p.settings.Regions,
		Repeats:       repeats.Limits{Ratio: p.settings.Bounds.RetryBudgetRatio, Extra: p.settings.Bounds.RetryBudgetExtra, Window: p.settings.Bounds.RetryBudgetWindow},
		WarmupOverage: p.settings.Bounds.WarmupOverage, WarmupSlack: p.settings.Bounds.WarmupSlack,
	}, p.crowding.addTo(edgenode.Deps{
		Clock: p.clock, WallClock: p.clocks().Wall, Upstreams: p.upstreams, Paths: p.paths, Lag: lag.Lag, LinkDelay: delay.OwnDelay, Lending: &lending.Client{Wire: p.peerClient}, Peers: &peerfetch.Client{HTTP: p.peerClient}, Origins: &streamorigin.Client{HTTP: p.peerClient}, Crashes: &quarantine.Client{HTTP: p.peerClient}, Bodies: bodies, Events: p.events, Metrics: gateway.NewMetrics(p.publishMetrics),
		Topics: edgenode.Topics{Operators: store.Operators(), Upstreams: store.Upstreams(), Presence: store.Topic("presence"), Streams: store.Topic(streamorigin.TopicName), Crashes: store.Topic(quarantine.CrashesTopicName), Blocks: store.Topic(quarantine.BlocksTopicName),
			Spend: allotment.NewPartitions(store.Partitions("spend", p.settings.Store.Partitions), p.settings.Store.WritablePartitions()), Ledger: store.Topic("ledger"), Grants: store.Topic("grants")},
		DecodeConfig: platform.DecodeConfig, DecodeEvacuation: platform.DecodeEvacuation, DecodeUpstream: platform.DecodeUpstream,
	}))
	if err != nil {
		return errors.Trace(err)
	}
	p.node = node
	if err := startCtx.Err(); err != nil {
		return errors.Trace(err)
	}
	p.publish("log_readings", expvar.Func(func() any { return node.TopicStats() }))
	p.publish("streams_known", expvar.Func(func() any { return node.KnownStreams() }))
	p.publish("upstream_paths", expvar.Func(func() any { return p.paths.Summary() }))
	p.publish("path_changes", expvar.Func(func() any { return p.paths.Metrics().Values() }))
	p.publish("upstream_limit_per_second", expvar.Func(func() any { return node.LimitedUpstreams() }))
	p.publish(gateway.MetricBodyMemory, expvar.Func(func() any { return bodies.Left() }))
	p.publish("evacuated_data_centres", expvar.Func(func() any { return node.EvacuatedDataCentres() }))
	p.publish(gateway.MetricRamping, expvar.Func(func() any { return node.RampingUpstreams() }))
	p.publish("upstream_work_ms", expvar.Func(func() any { return node.UnevenUpstreams() }))
	p.publish("upstream_contact", expvar.Func(func() any { return node.UpstreamContact() }))
	p.publish("quarantine", expvar.Func(func() any { return node.Quarantine().Counts() }))
	go delay.Run(ctx)
	p.serveMetrics()
	go p.sweep(ctx)
	return p.listen(delay)
}

// dialerOf returns what opens the node's connections: from its own address, by which other nodes know
// it, whatever other addresses the instance has.
func dialerOf(s *platform.Settings) (tcpconn.DialFunc, error) {
	if s.IP == "" {
		return tcpconn.Dialer(tcpconn.ServerLimits), nil
	}
	ip, err := netip.ParseAddr(s.IP)
	if err != nil {
		return nil, errors.Annotatef(err, "ip")
	}
	return tcpconn.DialerFrom(ip, tcpconn.ServerLimits), nil
}

// sweepInterval is how often unused pooled connections are closed.
const sweepInterval = time.Second

func (p *process) sweep(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), sweepInterval, func(context.Context) {
		p.upstreams.Sweep()
		p.peerClient.Sweep()
		p.exchangeClient.Sweep()
	})
}

// The reference instance has 0.4 of a core and needs 50 Mbit/s to use it fully on 12 KB prompts.
const (
	referenceCores    = 0.4
	referenceLinkMbps = 50
)

// capacityPercent returns the instance's capacity in percent of the reference instance,
// limited by its scarcer resource.
func capacityPercent(l platform.ResourceLimits) int {
	return max(1, int(100*min(l.Cores/referenceCores, l.LinkMbps/referenceLinkMbps)))
}

// peerDialTimeout limits connecting to another node: one round trip between regions.
const peerDialTimeout = 150 * time.Millisecond

// peerAddress returns the address where other nodes connect, on the first port reserved for it.
func (p *process) peerAddress() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.PeerPorts[0]))
}

func (p *process) listen(delay *queuedelay.Monitor) error {
	handler := &platform.Frontend{Gateway: p.node.Gateway(), Catalog: p.node.Catalog(), Clock: p.clock, Node: p.node, RefusesConnections: p.refusesConnections}
	p.frontend = p.newServer(p.inFlight.count(p.clock, handler))
	p.callers = newCallerConns()
	p.frontend.ConnState = p.callers.track
	var requests context.Context
	requests, p.endRequests = context.WithCancelCause(context.Background())
	p.frontend.ConnContext = tcpconn.WithConn
	p.frontend.BaseContext = func(l net.Listener) context.Context {
		p.callers.listen(l)
		return requests
	}
	directory := &platform.Directory{Node: p.node, TTL: min(addressTTL, p.settings.Bounds.AddressTTL)}
	return serveAll(&p.meter, []endpoint{
		{address: p.settings.Frontend, server: p.frontend, served: p.callers.served, opened: p.guardCallers(delay)},
		{address: p.peerAddress(), server: p.newServer(p.node.PeerRoutes())},
		{address: p.settings.Directory, server: p.newServer(directory.Routes())},
		{address: p.settings.Ready, server: p.newServer(platform.ReadyRoutes(p.node, metricsHandler()))},
	})
}

func (p *process) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: idleTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(discardWriter{}, "", 0)}
}

// discardWriter drops the HTTP server's own log: it writes a line for each connection that a
// caller aborts, and the node's events record these with the request ID.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
