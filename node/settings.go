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

// Settings are what one node is told about itself.
type Settings struct {
	Region     string
	DataCentre string
	// The addresses, IP and port, at which others reach this node.
	PeerAddress     string
	HTTPAddress     string
	OperatorAddress string
	// Stream is the log stream that the fleet folds.
	Stream string
	// HeartbeatInterval is the time between two heartbeats in the log.
	HeartbeatInterval time.Duration
	// BudgetPolicy weighs refusals against money out of use.
	BudgetPolicy budget.Policy
	// SpendRight is how long the node may spend after its last heartbeat in the log.
	SpendRight time.Duration
	// LeaseTerm is how long a lease lasts without renewal.
	LeaseTerm time.Duration
	// BatchDelay is how long entries are gathered before each append.
	BatchDelay time.Duration
	// GatherPolicy tells when the nodes of a data centre append together.
	GatherPolicy gather.Policy
	// ClaimChunk is the least number of tokens claimed from a budget's pool at a time.
	ClaimChunk uint64
	// AddressLifetime is how long callers may keep an address handed out. A draining
	// node serves at least this long after it stopped being handed out.
	AddressLifetime time.Duration
	// SnapshotPolicy tells when the folded state is written to the log again.
	SnapshotPolicy snapshot.Policy
	// EventCapacity is how many events are kept for the time line.
	EventCapacity int
	// TokenSecret signs tickets and stream cursors, the same on all nodes of the
	// fleet. Empty: each node draws its own, and a ticket or a cursor is good at the
	// node that made it alone.
	TokenSecret []byte
	// BootstrapTokenSHA256 admits an operator before any operator token exists.
	BootstrapTokenSHA256 string
}

// DefaultSettings returns settings with all durations and sizes filled in.
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

// Validate returns all mistakes at once.
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
	require(isIPPort(s.PeerAddress), "peer address isn't IP:port")
	require(isIPPort(s.HTTPAddress), "HTTP address isn't IP:port")
	require(isIPPort(s.OperatorAddress), "operator address isn't IP:port")
	require(s.BudgetPolicy.Name != "", "budget policy is empty")
	require(s.HeartbeatInterval > 0, "heartbeat interval isn't positive")
	require(s.SpendRight > 2*s.HeartbeatInterval, "spend right isn't above two heartbeat intervals")
	require(s.LeaseTerm >= time.Second, "lease term is under a second")
	require(s.BatchDelay >= 0, "gather time is negative")
	require(s.GatherPolicy.MinDataCentreNodes > 0 && s.GatherPolicy.Timeout > 0 && s.GatherPolicy.MinBackoff > 0, "policy of appends isn't positive")
	require(s.ClaimChunk > 0, "claim chunk is zero")
	require(s.AddressLifetime > 0, "address lifetime isn't positive")
	require(len(s.TokenSecret) == 0 || len(s.TokenSecret) >= signed.MinSecretLen, "token secret is shorter than 32 bytes")
	require(s.SnapshotPolicy.Records > 0 && s.SnapshotPolicy.Bytes > 0 && s.SnapshotPolicy.Age > 0, "snapshot policy isn't positive")
	require(s.EventCapacity > 0, "event memory is zero")
	if len(mistakes) > 0 {
		return errors.Errorf("settings: %s", strings.Join(mistakes, "; "))
	}
	return nil
}

func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
