package fleetfile

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

func testHash(digit string) string { return strings.Repeat(digit, 64) }

func newFleet(accounts ...string) *operatorv1.Fleet {
	fleet := &operatorv1.Fleet{
		Services:  []*operatorv1.Service{{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"small"}}},
		Upstreams: []*operatorv1.Upstream{{Name: "engine", Service: "chat", Address: "127.0.0.1:9", Region: "r", DataCentre: "d"}},
	}
	for i, name := range accounts {
		fleet.Accounts = append(fleet.Accounts, &operatorv1.Account{Name: name, KeySha256: []string{testHash(fmt.Sprint(i))}})
		fleet.Budgets = append(fleet.Budgets, &operatorv1.Budget{Name: name + "-chat", Account: name, Services: []string{"chat"}})
	}
	return fleet
}

func mustParse(t *testing.T, fleet *operatorv1.Fleet) *File {
	t.Helper()
	is := is.New(t)
	file, err := FromProto(fleet)
	is.NoErr(err)
	return file
}

func describePlan(plan Plan) string {
	var steps []string
	for _, step := range plan {
		steps = append(steps, string(step.Action)+" "+step.Key.String())
	}
	return strings.Join(steps, ", ")
}

func TestExportReturnsAppliedFleet(t *testing.T) {
	is := is.New(t)
	ctx, client, fleet := context.Background(), newFakeOperator(), newFleet("a", "b")
	_, err := Apply(ctx, client, mustParse(t, fleet), false)
	is.NoErr(err)
	exported := Export(client.state.View().All())
	is.True(proto.Equal(exported, fleet))
	outcome, err := Apply(ctx, client, mustParse(t, exported), true)
	is.NoErr(err)
	is.Equal(len(outcome.Plan), 0) // no differences remain
}

// The resources of a large fleet exceed gRPC's maximum message size. If they were read in
// one response, applying any file would fail.
func TestApplyReadsAllPages(t *testing.T) {
	is := is.New(t)
	ctx, client, fleet := context.Background(), newFakeOperator(), newFleet("a")
	for i := range 40_000 {
		name := fmt.Sprintf("account-%06d", i)
		fleet.Accounts = append(fleet.Accounts, &operatorv1.Account{Name: name, KeySha256: []string{fmt.Sprintf("%064x", i+1)}})
	}
	_, err := Apply(ctx, client, mustParse(t, fleet), false)
	is.NoErr(err)
	first, next := client.state.View().Page("")
	is.True(next != "" && len(first) < 40_000) // more than one page
	outcome, err := Apply(ctx, client, mustParse(t, fleet), true)
	is.NoErr(err)
	is.Equal(len(outcome.Plan), 0)
	current, _, err := ReadResources(ctx, client)
	is.NoErr(err)
	is.Equal(len(current), len(fleet.Accounts)+3)
}

// An operator removes a client account from the file and assigns its key to another. The
// key must be released before the other account uses it, or the whole file is refused.
func TestPruneReleasesKeyBeforeReuse(t *testing.T) {
	is := is.New(t)
	ctx, client := context.Background(), newFakeOperator()
	_, err := Apply(ctx, client, mustParse(t, newFleet("a", "b")), false)
	is.NoErr(err)
	next := newFleet("b") // b now has a's key
	outcome, err := Apply(ctx, client, mustParse(t, next), true)
	is.NoErr(err)
	is.Equal(describePlan(outcome.Plan), "delete account/a, delete budget/a-chat, change account/b")
	is.True(proto.Equal(Export(client.state.View().All()), next))
}

// An operator applies a file without operator tokens while a node is draining. Deleting
// the tokens would lock out all operators, and deleting the drain would return the
// leaving node to service.
func TestPruneKeepsTokensAndDrains(t *testing.T) {
	is := is.New(t)
	ctx, client := context.Background(), newFakeOperator()
	withToken := newFleet("a")
	withToken.OperatorTokens = []*operatorv1.OperatorToken{{Name: "night", TokenSha256: testHash("f"), Role: operatorv1.Role_ROLE_OPERATE}}
	_, err := Apply(ctx, client, mustParse(t, withToken), false)
	is.NoErr(err)
	drain := &operatorv1.Resource{Kind: &operatorv1.Resource_Drain{Drain: &operatorv1.Drain{Name: "127.0.0.1:7"}}}
	_, err = client.Apply(ctx, &operatorv1.ApplyRequest{ChangeId: "drain", Changes: []*operatorv1.Change{{Resource: drain}}})
	is.NoErr(err)
	outcome, err := Apply(ctx, client, mustParse(t, newFleet("a")), true)
	is.NoErr(err)
	is.Equal(describePlan(outcome.Plan), "")
	withToken.OperatorTokens[0].Name = "day"
	outcome, err = Apply(ctx, client, mustParse(t, withToken), true)
	is.NoErr(err)
	is.Equal(describePlan(outcome.Plan), "delete operator_token/night, create operator_token/day")
}

// Another operator changes an account between the read and the change of this one. The
// whole file must be refused, with none of its other changes applied.
func TestConflictingApplyChangesNothing(t *testing.T) {
	is := is.New(t)
	ctx, client := context.Background(), newFakeOperator()
	_, err := Apply(ctx, client, mustParse(t, newFleet("a", "b")), false)
	is.NoErr(err)
	next := newFleet("a", "b")
	next.Accounts[0].Team, next.Accounts[1].Team = "mine", "mine"
	next.TopUps = []*operatorv1.TopUp{{Id: "1", Budget: "a-chat", Tokens: 5}}
	client.beforeApply = func() {
		other := &operatorv1.Account{Name: "b", KeySha256: []string{testHash("1")}, Team: "other"}
		_, err := client.Apply(ctx, &operatorv1.ApplyRequest{ChangeId: "other", Changes: []*operatorv1.Change{
			{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: other}}}}})
		is.NoErr(err)
	}
	_, err = Apply(ctx, client, mustParse(t, next), false)
	is.Equal(result.CodeOf(err), result.VersionConflict)
	is.Equal(client.state.View().Account("a").GetTeam(), "")
	is.Equal(client.state.View().Account("b").GetTeam(), "other")
	is.Equal(len(client.topUps), 0) // a refused file tops up no budget
}

func TestErrorListsEveryProblemWithLocation(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "a")
	fleet.Upstreams[0].Address = "nowhere"
	fleet.Budgets[1].Services = []string{"nosuch"}
	fleet.TopUps = []*operatorv1.TopUp{{Budget: "a-chat"}}
	_, err := FromProto(fleet)
	is.True(err != nil)
	for _, problem := range []string{"account/a is declared twice", "upstream/engine.address", `references service "nosuch"`, "topUps[0] needs an id"} {
		is.True(strings.Contains(err.Error(), problem)) // every problem is listed
	}
}
