package node

import (
	"net"
	"strings"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/gather"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/snapshot"
)

// Settings configures one node.
type Settings struct {
	Region     string
	DataCentre string
	// The addresses (IP:port) at which this node is reached.
	PeerAddress     string
	HTTPAddress     string
	OperatorAddress string
	// Stream is the log stream that holds the fleet's state.
	Stream string
	// HeartbeatInterval is the time between two heartbeats in the log.
	HeartbeatInterval time.Duration
	// BudgetPolicy trades refused requests against prepaid tokens that lie idle in shares.
	BudgetPolicy budget.Policy
	// SpendRight is how long the node may spend after its last heartbeat in the log.
	SpendRight time.Duration
	// LeaseTerm is how long a lease lasts without renewal.
	LeaseTerm time.Duration
	// BatchDelay is how long entries are collected into a batch before each append.
	BatchDelay time.Duration
	// GatherPolicy decides when the nodes of a data centre append through one gatherer.
	GatherPolicy gather.Policy
	// ClaimChunk is the minimum number of tokens claimed from a budget's pool at a time.
	ClaimChunk uint64
	// AddressLifetime is how long callers may use an address they were given. A draining
	// node serves at least this long after its address was last handed out.
	AddressLifetime time.Duration
	// SnapshotPolicy decides when a snapshot of the state is written to the log.
	SnapshotPolicy snapshot.Policy
	// EventCapacity is the number of events kept for the timeline.
	EventCapacity int
	// TokenSecret signs tickets and stream cursors; all nodes of the fleet must share it. If
	// empty, each node generates its own, and tickets and cursors are valid only on the node
	// that issued them.
	TokenSecret []byte
	// BootstrapTokenSHA256 is the hash of the token that admits an operator before any
	// operator token is configured.
	BootstrapTokenSHA256 string
}

// DefaultSettings returns the default durations, sizes and policies. Region, data centre and
// addresses are left empty.
func DefaultSettings() Settings {
	return Settings{
		Stream:            "fleet",
		HeartbeatInterval: 5 * time.Second,
		LeaseTerm:         15 * time.Second,
		BudgetPolicy:      budget.Endurance,
		SpendRight:        budget.Endurance.SpendRight,
		BatchDelay:        20 * time.Millisecond,
		GatherPolicy:      gather.DefaultPolicy(),
		ClaimChunk:        20_000,
		AddressLifetime:   10 * time.Second,
		SnapshotPolicy:    snapshot.DefaultPolicy(),
		EventCapacity:     20_000,
	}
}

// Validate returns one error that lists all invalid settings.
func (s Settings) Validate() error {
	var mistakes []string
	require := func(ok bool, text string) {
		if !ok {
			mistakes = append(mistakes, text)
		}
	}
	require(s.Region != "", "region is empty")
	require(s.DataCentre != "", "data centre is empty")
	require(s.Stream != "", "stream is empty")
	require(isIPPort(s.PeerAddress), "peer address is not IP:port")
	require(isIPPort(s.HTTPAddress), "HTTP address is not IP:port")
	require(isIPPort(s.OperatorAddress), "operator address is not IP:port")
	require(s.BudgetPolicy.Name != "", "budget policy is empty")
	require(s.HeartbeatInterval > 0, "heartbeat interval is not positive")
	require(s.SpendRight > 2*s.HeartbeatInterval, "spend right is not longer than two heartbeat intervals")
	require(s.LeaseTerm >= time.Second, "lease term is shorter than one second")
	require(s.BatchDelay >= 0, "batch delay is negative")
	require(s.GatherPolicy.MinDataCentreNodes > 0 && s.GatherPolicy.Timeout > 0 && s.GatherPolicy.MinBackoff > 0, "gather policy has a value that is not positive")
	require(s.ClaimChunk > 0, "claim chunk is zero")
	require(s.AddressLifetime > 0, "address lifetime isn't positive")
	require(len(s.TokenSecret) == 0 || len(s.TokenSecret) >= signed.MinSecretLen, "token secret is shorter than 32 bytes")
	require(s.SnapshotPolicy.Records > 0 && s.SnapshotPolicy.Bytes > 0 && s.SnapshotPolicy.Age > 0, "snapshot policy has a value that is not positive")
	require(s.EventCapacity > 0, "event capacity is not positive")
	if len(mistakes) > 0 {
		return errors.Errorf("invalid settings: %s", strings.Join(mistakes, "; "))
	}
	return nil
}

func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
