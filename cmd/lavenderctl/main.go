// Command lavenderctl is the operators' command-line tool; it talks to any node of the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/tcpconn"
	"lavenderpin.dev/lavenderpin/tlskeys"
)

type cli struct {
	Address   string        `help:"IP:port of any node's operator API." env:"LAVENDERCTL_ADDRESS" default:"127.0.0.1:7003"`
	Token     string        `help:"Operator token." env:"LAVENDERCTL_TOKEN"`
	Authority string        `help:"PEM file of the fleet's certificate authority, which verifies the node." env:"LAVENDERCTL_AUTHORITY" type:"existingfile"`
	Plaintext bool          `help:"Connect without TLS, for local testing only." env:"LAVENDERCTL_PLAINTEXT"`
	Timeout   time.Duration `help:"Time limit for one command's calls." env:"LAVENDERCTL_TIMEOUT" default:"15s"`

	Apply    applyCmd    `cmd:"" help:"Apply a declarative fleet file."`
	Diff     diffCmd     `cmd:"" help:"Show what applying a file would change, without changing anything."`
	Export   exportCmd   `cmd:"" help:"Print the current resources as a fleet file."`
	TopUp    topUpCmd    `cmd:"" name:"topup" help:"Add prepaid tokens to a budget."`
	Delete   deleteCmd   `cmd:"" help:"Delete a resource."`
	Drain    drainCmd    `cmd:"" help:"Take an upstream out of service, or put it back with --undo."`
	List     listCmd     `cmd:"" help:"List the current resources."`
	Watch    watchCmd    `cmd:"" help:"Show resources as they take effect."`
	Budgets  budgetsCmd  `cmd:"" help:"Show budgets: prepaid, spent, pool and shares."`
	Nodes    nodesCmd    `cmd:"" help:"Show the fleet as a node sees it."`
	Parts    partsCmd    `cmd:"" help:"Show the parts of prompts that are blocked since upstreams crashed under them."`
	Lift     liftCmd     `cmd:"" help:"Have requests with a blocked part of a prompt sent again."`
	Timeline timelineCmd `cmd:"" help:"Show the events of all nodes in causal order."`
	Explain  explainCmd  `cmd:"" help:"Explain what happened to one request."`
	Story    storyCmd    `cmd:"" help:"Explain the events of a request from log files or standard input."`
	Lost     lostCmd     `cmd:"" help:"Report from log files which requests callers lost, by time and cause."`
	Keys     keysCmd     `cmd:"" help:"Create keys for the fleet's mutual TLS."`
}

// connection is a client of the operator API, with the operator's token in ctx.
type connection struct {
	ctx    context.Context
	client operatorv1.OperatorServiceClient
	close  func()
}

func (c *cli) connect(ctx context.Context) (*connection, error) {
	creds, err := c.credentials()
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("passthrough:///"+c.Address, grpc.WithTransportCredentials(creds), grpc.WithContextDialer(tcpconn.Dialer(tcpconn.ServerLimits)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.Token)
	return &connection{ctx: ctx, client: operatorv1.NewOperatorServiceClient(conn), close: func() { _ = conn.Close() }}, nil
}

func (c *cli) credentials() (credentials.TransportCredentials, error) {
	if c.Plaintext {
		return insecure.NewCredentials(), nil
	}
	if c.Authority == "" {
		return nil, errors.New("--authority is required to verify the node, unless --plaintext is set")
	}
	creds, err := credentials.NewClientTLSFromFile(c.Authority, tlskeys.ServerName)
	return creds, errors.Annotate(err, "authority")
}

// withConnection runs fn on a new connection, within the time limit.
func (c *cli) withConnection(ctx context.Context, fn func(*connection) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer conn.close()
	return fn(conn)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("lavenderctl"),
		kong.Description("Operate a lavenderpin fleet. Any node takes any command."),
		kong.ShortUsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(&c))
	k.FatalIfErrorf(k.Run())
}
