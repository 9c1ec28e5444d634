// Command lavenderstub runs one stand-in as a process: the platform, an engine or a
// plain service.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"google.golang.org/grpc"

	"lavenderpin.dev/lavenderpin/internal/standin"
)

type cli struct {
	Platform platformCmd `cmd:"" help:"Run the platform: log, instance list and weight store."`
	Engine   engineCmd   `cmd:"" help:"Run a model engine."`
	Service  serviceCmd  `cmd:"" help:"Run a plain service."`
}

type platformCmd struct {
	Listen string        `help:"IP:port to serve on." required:""`
	Delay  time.Duration `help:"Minimum duration of each call to the log."`
	Keep   int           `help:"Number of records that each stream keeps; 0 keeps all."`
}

// Run serves until a signal cancels ctx.
func (c *platformCmd) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	log := standin.NewLog()
	log.SetDelay(c.Delay)
	log.SetRetention(c.Keep)
	p := &standin.Platform{Log: log, Instances: standin.NewInstances(), Weights: standin.NewWeights(clockwork.NewRealClock(), time.Second)}
	server := grpc.NewServer()
	p.Register(server)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	return errors.Trace(server.Serve(listener))
}

type engineCmd struct {
	Listen    string        `help:"IP:port to serve on." required:""`
	TokenTime time.Duration `help:"Time between two tokens." default:"10ms"`
	CutAfter  int           `help:"End each stream after this many tokens without the terminal marker; 0 disables it."`
	Cross     int           `help:"Respond to every nth request with a different request ID; 0 disables it."`
	Duplicate int           `help:"Send every nth chunk twice; 0 disables it."`
	Swap      int           `help:"Send every nth chunk after the one that follows it; 0 disables it."`
	Forget    bool          `help:"Keep no streams for callers that resume."`

	IgnoreFencing   bool   `help:"Accept orders with an outdated fencing number."`
	SoftwareVersion string `help:"Version of the engine's software, told in each answer; none if empty."`
}

// Run serves until a signal cancels ctx.
func (c *engineCmd) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	engine := standin.NewEngine(listener, standin.EngineOptions{TokenTime: c.TokenTime, CutAfter: c.CutAfter, Cross: c.Cross,
		Duplicate: c.Duplicate, Swap: c.Swap, Forget: c.Forget, IgnoreFencing: c.IgnoreFencing, Version: c.SoftwareVersion})
	stop := context.AfterFunc(ctx, engine.Close)
	defer stop()
	return errors.Trace(engine.Run())
}

type serviceCmd struct {
	Listen string        `help:"IP:port to serve on." required:""`
	Delay  time.Duration `help:"Duration of each call."`
}

// Run serves until a signal cancels ctx.
func (c *serviceCmd) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	service := standin.NewService(listener, c.Delay)
	stop := context.AfterFunc(ctx, service.Close)
	defer stop()
	return errors.Trace(service.Run())
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hlog.SetLevel(hlog.LevelError) // the HTTP library would log every connection
	var c cli
	k := kong.Parse(&c, kong.Name("lavenderstub"),
		kong.Description("Stand-ins for the systems around a lavenderpin fleet, for tests and measurements only."),
		kong.ShortUsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
