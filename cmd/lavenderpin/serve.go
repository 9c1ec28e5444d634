package main

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/daemon"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/ports/remote"
	"lavenderpin.dev/lavenderpin/tlskeys"
)

type serveCmd struct {
	Region     string `help:"Region of this instance." env:"LAVENDERPIN_REGION" required:""`
	DataCentre string `help:"Data centre of this instance." env:"LAVENDERPIN_DATA_CENTRE" required:""`
	HTTP       string `help:"IP:port for callers." env:"LAVENDERPIN_HTTP" required:""`
	Operator   string `help:"IP:port for operators (gRPC)." env:"LAVENDERPIN_OPERATOR" required:""`
	Peer       string `help:"IP:port for other nodes (QUIC over UDP)." env:"LAVENDERPIN_PEER" required:""`
	Admin      string `help:"IP:port for metrics (expvar); disabled when empty." env:"LAVENDERPIN_ADMIN"`
	Platform   string `help:"IP:port of the platform's services." env:"LAVENDERPIN_PLATFORM" required:""`

	Authority string `help:"PEM file of the fleet's certificate authority." env:"LAVENDERPIN_AUTHORITY" type:"existingfile" required:""`
	Cert      string `help:"PEM file of this node's certificate." env:"LAVENDERPIN_CERT" type:"existingfile" required:""`
	Key       string `help:"PEM file of this node's private key." env:"LAVENDERPIN_KEY" type:"existingfile" required:""`

	OperatorPlaintext  bool          `help:"Serve operators without TLS, for local testing only." env:"LAVENDERPIN_OPERATOR_PLAINTEXT"`
	TokenSecret        string        `help:"Secret of at least 32 bytes, the same on all nodes. It signs call tickets and the event IDs with which callers resume a stream. Without it both are valid only at the node that issued them." env:"LAVENDERPIN_TOKEN_SECRET"`
	BootstrapTokenHash string        `help:"Hash of an operator token (see lavenderctl keys hash) that is accepted until an operator token is stored." env:"LAVENDERPIN_BOOTSTRAP_TOKEN_HASH"`
	Heartbeat          time.Duration `help:"Time between heartbeats in the log." default:"5s" env:"LAVENDERPIN_HEARTBEAT"`
	LeaseTerm          time.Duration `help:"How long a singleton job's lease lasts without renewal." default:"15s" env:"LAVENDERPIN_LEASE_TERM"`
	BudgetPolicy       string        `help:"endurance: few false refusals during network partitions and outages. thrift: few prepaid tokens frozen by crashes, and no spend known to one node alone." default:"endurance" enum:"endurance,thrift" env:"LAVENDERPIN_BUDGET_POLICY"`
	SpendRight         time.Duration `help:"How long the node may spend after its last heartbeat in the log. It is the longest store outage or region partition that the node tolerates, and the longest time that a crash freezes its shares. 0 uses the budget policy's value." default:"0s" env:"LAVENDERPIN_SPEND_RIGHT"`
	ClaimChunk         uint64        `help:"Minimum number of tokens claimed from a budget at a time." default:"20000" env:"LAVENDERPIN_CLAIM_CHUNK"`
	AddressLifetime    time.Duration `help:"How long callers may cache an address that they resolved." default:"10s" env:"LAVENDERPIN_ADDRESS_LIFETIME"`
	DrainTimeout       time.Duration `help:"Maximum duration of a graceful shutdown." default:"5m" env:"LAVENDERPIN_DRAIN_TIMEOUT"`
}

// Run serves until a signal cancels ctx.
func (c *serveCmd) Run(ctx context.Context) error {
	settings := node.DefaultSettings()
	settings.Region = c.Region
	settings.DataCentre = c.DataCentre
	settings.HTTPAddress = c.HTTP
	settings.OperatorAddress = c.Operator
	settings.PeerAddress = c.Peer
	settings.HeartbeatInterval = c.Heartbeat
	settings.LeaseTerm = c.LeaseTerm
	if err := c.setPolicy(&settings); err != nil {
		return errors.Trace(err)
	}
	settings.ClaimChunk = c.ClaimChunk
	settings.AddressLifetime = c.AddressLifetime
	settings.TokenSecret = []byte(c.TokenSecret)
	settings.BootstrapTokenSHA256 = c.BootstrapTokenHash
	if err := settings.Validate(); err != nil {
		return errors.Trace(err)
	}
	logger := newLogger()
	files := tlskeys.Files{Authority: c.Authority, Cert: c.Cert, Key: c.Key}
	keys, err := tlskeys.NewStore(files, clockwork.NewRealClock(), logger)
	if err != nil {
		return errors.Trace(err)
	}
	go keys.Run(ctx)
	client, err := remote.Dial(c.Platform)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = client.Close() }()
	d, err := daemon.New(daemon.Config{
		Settings: settings, Log: client, Instances: client, Weights: client, PeerTLS: keys.PeerConfig(),
		OperatorTLS: c.operatorTLS(keys), Logger: logger, Admin: c.Admin, DrainTimeout: c.DrainTimeout,
	})
	if err != nil {
		return errors.Trace(err)
	}
	return d.Run(ctx)
}

func (c *serveCmd) setPolicy(settings *node.Settings) error {
	policy, err := budget.PolicyByName(c.BudgetPolicy)
	if err != nil {
		return errors.Trace(err)
	}
	settings.BudgetPolicy = policy
	settings.SpendRight = policy.SpendRight
	if c.SpendRight > 0 {
		settings.SpendRight = c.SpendRight
	}
	return nil
}

func (c *serveCmd) operatorTLS(keys *tlskeys.Store) *tls.Config {
	if c.OperatorPlaintext {
		return nil
	}
	return keys.OperatorConfig()
}
