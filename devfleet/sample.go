package devfleet

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/grpc/metadata"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fleetfile"
)

const (
	// SampleAccountKey authenticates the sample's client account.
	SampleAccountKey = "dev-key"
	// SampleModel is served by the sample's engines.
	SampleModel = "lavender-small"
	// SampleTokens is what the sample's budget is topped up with.
	SampleTokens = 1_000_000
)

// SampleConfig returns the configuration of a development fleet: one client account with
// one budget, a service "chat" on the engines and a plain service "orders".
func (f *Fleet) SampleConfig() *operatorv1.Fleet {
	fleet := &operatorv1.Fleet{
		Accounts: []*operatorv1.Account{{Name: "dev", Team: "dev", KeySha256: []string{config.HashKey(SampleAccountKey)}}},
		Services: []*operatorv1.Service{
			{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{SampleModel}},
			{Name: "orders", Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN, Calls: []*operatorv1.Call{
				{Method: "GET", Path: "/", Idempotent: true, Tokens: 1},
				{Method: "POST", Path: "/", Tokens: 5},
			}},
		},
		Budgets: []*operatorv1.Budget{{Name: "dev-budget", Account: "dev", Services: []string{"chat", "orders"}}},
		TopUps:  []*operatorv1.TopUp{{Id: "sample-1", Budget: "dev-budget", Tokens: SampleTokens}},
	}
	fleet.Upstreams = append(fleet.Upstreams, f.EngineUpstreams...)
	fleet.Upstreams = append(fleet.Upstreams, f.PlainUpstreams...)
	return fleet
}

// Apply declares a configuration through the operator API of the first node.
func (f *Fleet) Apply(ctx context.Context, fleet *operatorv1.Fleet) error {
	conn, err := f.DialOperator(0)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	file, err := fleetfile.FromProto(fleet)
	if err != nil {
		return errors.Trace(err)
	}
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+OperatorToken)
	_, err = fleetfile.Apply(ctx, operatorv1.NewOperatorServiceClient(conn), file, false)
	return errors.Trace(err)
}
