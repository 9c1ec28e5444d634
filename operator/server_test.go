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

func start(t *testing.T) (*devfleet.Fleet, operatorv1.OperatorServiceClient) {
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

func as(token string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+token)
}

func account(name string, base uint64) *operatorv1.ApplyRequest {
	return &operatorv1.ApplyRequest{ChangeId: name + time.Now().String(), Changes: []*operatorv1.Change{{
		BaseVersion: base,
		Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
			Name: name, KeySha256: []string{config.HashKey(name)}}}},
	}}}
}

func token(name string, role operatorv1.Role) *operatorv1.ApplyRequest {
	return &operatorv1.ApplyRequest{ChangeId: name, Changes: []*operatorv1.Change{{
		Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_OperatorToken{OperatorToken: &operatorv1.OperatorToken{
			Name: name, TokenSha256: config.HashKey(name + "-token"), Role: role}}},
	}}}
}

// Somebody calls with no token, a wrong one, one that may only look, or the
// bootstrap token after a stored one exists. Each must be refused and leave an
// audit event, or nobody could tell later who tried.
func TestRolesAreEnforced(t *testing.T) {
	is := is.New(t)
	fleet, client := start(t)
	for _, ctx := range []context.Context{context.Background(), as("wrong")} {
		_, err := client.List(ctx, &operatorv1.ListRequest{})
		is.Equal(status.Code(err), codes.PermissionDenied)
	}
	_, err := client.Apply(as(devfleet.OperatorToken), token("viewer", operatorv1.Role_ROLE_VIEW))
	is.NoErr(err)
	_, err = client.Apply(as(devfleet.OperatorToken), account("a", 0))
	is.Equal(status.Code(err), codes.PermissionDenied) // the bootstrap token has done its work
	_, err = client.List(as("viewer-token"), &operatorv1.ListRequest{})
	is.NoErr(err)
	_, err = client.Apply(as("viewer-token"), account("a", 0))
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

// Two operators change the same account from the same version. The second must
// learn that it lost, and against which version, instead of silently undoing the
// first.
func TestConcurrentChangesConflict(t *testing.T) {
	is := is.New(t)
	_, client := start(t)
	ctx := as(devfleet.OperatorToken)
	first, err := client.Apply(ctx, account("a", 0))
	is.NoErr(err)
	_, err = client.Apply(ctx, account("a", 0))
	is.Equal(status.Code(err), codes.Aborted)
	_, err = client.Apply(ctx, account("a", first.GetVersion()))
	is.NoErr(err)
}

// The answer to a change is lost and the operator sends it again. It must take
// effect once and be answered alike.
func TestSameChangeIDIsIdempotent(t *testing.T) {
	is := is.New(t)
	fleet, client := start(t)
	ctx := as(devfleet.OperatorToken)
	change := account("a", 0)
	fleet.Log.DropResponses(1)
	first, err := client.Apply(ctx, change)
	is.NoErr(err)
	again, err := client.Apply(ctx, change)
	is.NoErr(err)
	is.Equal(first.GetVersion(), again.GetVersion())
}

// The log is down. The operator must hear that nothing was changed only when that
// is the truth, and otherwise that the outcome is open.
func TestChangeDuringLogOutage(t *testing.T) {
	is := is.New(t)
	fleet, client := start(t)
	fleet.Log.SetDown(true)
	ctx, cancel := context.WithTimeout(as(devfleet.OperatorToken), 500*time.Millisecond)
	defer cancel()
	change := account("a", 0)
	_, err := client.Apply(ctx, change)
	is.True(err != nil)
	fleet.Log.SetDown(false)
	answer, err := client.Apply(as(devfleet.OperatorToken), change) // the same id, whatever became of the first
	is.NoErr(err)
	is.True(answer.GetVersion() > 0)
	list, err := client.List(as(devfleet.OperatorToken), &operatorv1.ListRequest{})
	is.NoErr(err)
	is.Equal(len(list.GetResources()), 1)
}
