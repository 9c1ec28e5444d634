package operator_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/devfleet"
	"lavenderpin.dev/lavenderpin/event"
)

func startFleet(t *testing.T) (*devfleet.Fleet, operatorv1.OperatorServiceClient) {
	t.Helper()
	is := is.New(t)
	fleet, err := devfleet.Start(devfleet.Options{Nodes: []devfleet.Location{{Region: "r", DataCentre: "d"}}})
	is.NoErr(err)
	t.Cleanup(fleet.Stop)
	conn, err := fleet.DialOperator(0)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return fleet, operatorv1.NewOperatorServiceClient(conn)
}

func withToken(token string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+token)
}

func accountChange(name string, base uint64) *operatorv1.ApplyRequest {
	return &operatorv1.ApplyRequest{ChangeId: name + time.Now().String(), Changes: []*operatorv1.Change{{
		BaseVersion: base,
		Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
			Name: name, KeySha256: []string{config.HashKey(name)}}}},
	}}}
}

func tokenChange(name string, role operatorv1.Role) *operatorv1.ApplyRequest {
	return &operatorv1.ApplyRequest{ChangeId: name, Changes: []*operatorv1.Change{{
		Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_OperatorToken{OperatorToken: &operatorv1.OperatorToken{
			Name: name, TokenSha256: config.HashKey(name + "-token"), Role: role}}},
	}}}
}

// Calls arrive with no token, a wrong one, a view-only one, or the bootstrap token after
// an operator token was stored. Each must be refused and leave an audit event, or such
// attempts could not be traced later.
func TestRolesAreEnforced(t *testing.T) {
	is := is.New(t)
	fleet, client := startFleet(t)
	for _, ctx := range []context.Context{context.Background(), withToken("wrong")} {
		_, err := client.List(ctx, &operatorv1.ListRequest{})
		is.Equal(status.Code(err), codes.PermissionDenied)
	}
	_, err := client.Apply(withToken(devfleet.OperatorToken), tokenChange("viewer", operatorv1.Role_ROLE_VIEW))
	is.NoErr(err)
	_, err = client.Apply(withToken(devfleet.OperatorToken), accountChange("a", 0))
	is.Equal(status.Code(err), codes.PermissionDenied) // the bootstrap token is no longer valid
	_, err = client.List(withToken("viewer-token"), &operatorv1.ListRequest{})
	is.NoErr(err)
	_, err = client.Apply(withToken("viewer-token"), accountChange("a", 0))
	is.Equal(status.Code(err), codes.PermissionDenied)

	events, _ := fleet.Daemons[0].Node().Events().Find("Apply")
	outcomes := map[string]int{}
	for _, e := range events {
		if e.Number == event.OperatorCalled {
			outcomes[e.Fields["operator"]+" "+e.Fields["outcome"]]++
		}
	}
	is.Equal(outcomes, map[string]int{"bootstrap OK": 1, " PermissionDenied": 1, "viewer PermissionDenied": 1})
}

// Two operators change the same account based on the same version. The second must get
// a conflict that names the current version, instead of silently overwriting the first.
func TestConcurrentChangesConflict(t *testing.T) {
	is := is.New(t)
	_, client := startFleet(t)
	ctx := withToken(devfleet.OperatorToken)
	first, err := client.Apply(ctx, accountChange("a", 0))
	is.NoErr(err)
	_, err = client.Apply(ctx, accountChange("a", 0))
	is.Equal(status.Code(err), codes.Aborted)
	_, err = client.Apply(ctx, accountChange("a", first.GetVersion()))
	is.NoErr(err)
}

// The response to a change is lost and the operator retries. The change must be applied
// once, and both calls must return the same version.
func TestSameChangeIDIsIdempotent(t *testing.T) {
	is := is.New(t)
	fleet, client := startFleet(t)
	ctx := withToken(devfleet.OperatorToken)
	change := accountChange("a", 0)
	fleet.Log.DropResponses(1)
	first, err := client.Apply(ctx, change)
	is.NoErr(err)
	retry, err := client.Apply(ctx, change)
	is.NoErr(err)
	is.Equal(first.GetVersion(), retry.GetVersion())
}

// The log is down. The response may claim that nothing was changed only if that is true;
// otherwise it must report that the outcome is unknown.
func TestChangeDuringLogOutage(t *testing.T) {
	is := is.New(t)
	fleet, client := startFleet(t)
	fleet.Log.SetDown(true)
	ctx, cancel := context.WithTimeout(withToken(devfleet.OperatorToken), 500*time.Millisecond)
	defer cancel()
	change := accountChange("a", 0)
	_, err := client.Apply(ctx, change)
	is.True(err != nil)
	fleet.Log.SetDown(false)
	response, err := client.Apply(withToken(devfleet.OperatorToken), change) // retry with the same id
	is.NoErr(err)
	is.True(response.GetVersion() > 0)
	list, err := client.List(withToken(devfleet.OperatorToken), &operatorv1.ListRequest{})
	is.NoErr(err)
	is.Equal(len(list.GetResources()), 1)
}
