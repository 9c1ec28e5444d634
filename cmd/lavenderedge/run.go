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
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

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
	"lavenderpin.dev/lavenderpin/repeats"
)

const (
	// memoryShare is the part of the instance's memory that the heap may take before
	// garbage is collected harder.
	memoryShare = 0.5
	// eventRing is how many events are held for the time line.
	eventRing = 256
	// addressTTL is how long callers keep addresses: shorter than the platform allows,
	// so that a leaving node is soon forgotten.
	addressTTL = 2 * time.Second
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that no caller uses any more. Callers may reuse
	// one for four fifths of the operators' limit, which is below this.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
)

// process is one node's process.
type process struct {
	settings platform.Settings
	// metricsPort serves the metrics alone; 0 for none.
	metricsPort int
	events      *event.Recorder
	clock       bootclock.System
	node        *edgenode.Node
	sender      *platform.UpstreamClient
	peers       *httpwire.Client
	frontend    *http.Server
	open        openRequests
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
	lines := logsink.New(os.Stdout)
	defer func() { _ = lines.Close() }()
	p := &process{settings: settings, metricsPort: c.MetricsPort, events: newRecorder(settings, lines)}
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	}
	return p.run(c.Config)
}

func newRecorder(settings platform.Settings, lines *logsink.Writer) *event.Recorder {
	logger := log.With(log.NewLogfmtLogger(lines), "ts", log.DefaultTimestampUTC)
	return event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), settings.Node, eventRing, logger)
}

func (p *process) run(path string) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	incarnation := newIncarnation()
	start := prepaid.ProcessStart{ClockReading: p.clocks().Read(), BootID: bootID()}
	p.events.Record(event.NodeStarting, "incarnation", incarnation, "data_centre", p.settings.DataCentre, "memory_mb", p.settings.Limits.MemoryMB, "cores", p.settings.Limits.Cores, "link_mbps", p.settings.Limits.LinkMbps, "boot_clock", start.Boot, "boot", start.BootID)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := make(chan error, 1)
	go func() { begun <- p.begin(ctx, incarnation, start) }()
	for {
		select {
		case err := <-begun:
			if err != nil {
				return errors.Trace(err)
			}
			begun = nil
			p.events.Record(event.NodeServing, "frontend", p.settings.Frontend)
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload(path)
				continue
			}
			if begun != nil {
				return nil // nothing was served yet
			}
			p.leave()
			return nil
		}
	}
}

func (p *process) clocks() prepaid.Clocks {
	return prepaid.Clocks{Boot: p.clock, Wall: clockwork.NewRealClock()}
}

func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// bootID names the instance's boot; empty where the kernel doesn't tell.
func bootID() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

// begin starts the node and its listeners.
func (p *process) begin(ctx context.Context, incarnation string, start prepaid.ProcessStart) error {
	store := platform.NewStore(p.settings.Store.Address, p.clock)
	calls := expvar.NewMap("store_calls")
	store.OnCall = func(call string, status int) { calls.Add(fmt.Sprintf("%s_%d", call, status), 1) }
	dials := expvar.NewInt("upstream_connections_made")
	p.peers = httpwire.NewClient(httpwire.Options{Clock: p.clock, DialTimeout: peerDialTimeout})
	p.sender = platform.NewUpstreamClient(p.clock, func() { dials.Add(1) })
	node, err := edgenode.Start(ctx, edgenode.Settings{
		Node: p.settings.Node, Incarnation: incarnation, Start: start,
		Address: p.settings.Frontend, Peer: p.peerAddress(), Capacity: capacity(p.settings.Limits), DataCentre: p.settings.DataCentre, Region: p.settings.Region, Regions: p.settings.Regions,
		Repeats: repeats.Limits{Ratio: p.settings.Bounds.RetryBudgetRatio, Extra: p.settings.Bounds.RetryBudgetExtra, Window: p.settings.Bounds.RetryBudgetWindow},
	}, edgenode.Deps{
		Clock: p.clock, WallClock: p.clocks().Wall, Upstreams: p.sender, Lending: &lending.Client{Wire: p.peers}, Peers: &peerfetch.Client{HTTP: p.peers}, Events: p.events, Metrics: gateway.NewMetrics(true),
		Topics: edgenode.Topics{Operators: store.Operators(), Upstreams: store.Upstreams(), Presence: store.Topic("presence"),
			Spend: store.Topic("spend"), Ledger: store.Topic("ledger"), Grants: store.Topic("grants")},
		DecodeConfig: platform.DecodeConfig, DecodeUpstream: platform.DecodeUpstream,
	})
	if err != nil {
		return errors.Trace(err)
	}
	p.node = node
	expvar.Publish("log_readings", expvar.Func(func() any { return node.TopicStats() }))
	p.serveMetrics()
	go p.sweep(ctx)
	return p.listen()
}

// sweepEvery is how often kept connections that nobody used are closed.
const sweepEvery = time.Second

func (p *process) sweep(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), sweepEvery, func(context.Context) {
		p.sender.Sweep()
		p.peers.Sweep()
	})
}

// A usual instance has 0.4 of a core and needs 50 Mbit/s to use it on prompts of 12 KB.
const (
	usualCores    = 0.4
	usualLinkMbps = 50
)

// capacity is what the instance can carry, in hundredths of a usual one: what it has
// least of decides.
func capacity(l platform.ResourceLimits) int {
	return max(1, int(100*min(l.Cores/usualCores, l.LinkMbps/usualLinkMbps)))
}

// peerDialTimeout bounds a new connection to another node: a round trip between regions.
const peerDialTimeout = 150 * time.Millisecond

// peerAddress is where other nodes connect: the first of the ports that are free for it.
func (p *process) peerAddress() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.PeerPorts[0]))
}

func (p *process) listen() error {
	handler := &platform.Frontend{Gateway: p.node.Gateway(), Catalog: p.node.Catalog(), Clock: p.clock, Node: p.node}
	p.frontend = p.server(p.open.count(handler))
	directory := &platform.Directory{Node: p.node, TTL: min(addressTTL, p.settings.Bounds.AddressTTL)}
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{p.settings.Frontend, p.frontend},
		{p.peerAddress(), p.server(p.node.PeerRoutes())},
		{p.settings.Directory, p.server(directory.Routes())},
		{p.settings.Ready, p.server(platform.ReadyRoutes(p.node, expvar.Handler()))},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { _ = l.server.Serve(listener) }() // ends with the process
	}
	return nil
}

func (p *process) server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(discard{}, "", 0)}
}

// discard drops the HTTP server's own lines: it writes one for each connection that a
// caller breaks off, and the node's events tell of these with the request's id.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
