// Command lavenderpin runs one node of the fleet or, with "dev", a small fleet in one
// process with embedded stand-ins.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-kit/log"
)

type cli struct {
	Serve serveCmd `cmd:"" default:"withargs" help:"Run one node of the fleet."`
	Dev   devCmd   `cmd:"" help:"Run a small fleet in one process with embedded stand-ins and print an example request."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hlog.SetLevel(hlog.LevelError) // the HTTP library would log every connection
	var c cli
	k := kong.Parse(&c, kong.Name("lavenderpin"),
		kong.Description("A router node in front of LLM engines and plain services, charging prepaid token budgets."),
		kong.ShortUsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}

func newLogger() log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
