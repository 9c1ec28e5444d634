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

func sum(digit string) string { return strings.Repeat(digit, 64) }

func fleetOf(accounts ...string) *operatorv1.Fleet {
	fleet := &operatorv1.Fleet{
		Services:  []*operatorv1.Service{{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"small"}}},
		Upstreams: []*operatorv1.Upstream{{Name: "engine", Service: "chat", Address: "127.0.0.1:9", Region: "r", DataCentre: "d"}},
	}
	for i, name := range accounts {
		fleet.Accounts = append(fleet.Accounts, &operatorv1.Account{Name: name, KeySha256: []string{sum(fmt.Sprint(i))}})
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

func actions(plan Plan) string {
	var words []string
	for _, step := range plan {
		words = append(words, string(step.Action)+" "+step.Key.String())
	}
	return strings.Join(words, ", ")
}

func TestExportReturnsAppliedFleet(t *testing.T) {
	is := is.New(t)
	ctx, client, fleet := context.Background(), newFakeOperator(), fleetOf("a", "b")
	_, err := Apply(ctx, client, mustParse(t, fleet), false)
	is.NoErr(err)
	exported := Export(client.state.View().All())
	is.True(proto.Equal(exported, fleet))
	outcome, err := Apply(ctx, client, mustParse(t, exported), true)
	is.NoErr(err)
	is.Equal(len(outcome.Plan), 0) // nothing is left to change
}

// A fleet grows until all its resources are more than gRPC takes in one message. Read
// in one answer, applying any file would fail from then on.
func TestApplyReadsAllPages(t *testing.T) {
	is := is.New(t)
	ctx, client, fleet := context.Background(), newFakeOperator(), fleetOf("a")
	for i := range 40_000 {
		name := fmt.Sprintf("account-%06d", i)
		fleet.Accounts = append(fleet.Accounts, &operatorv1.Account{Name: name, KeySha256: []string{fmt.Sprintf("%064x", i+1)}})
	}
	_, err := Apply(ctx, client, mustParse(t, fleet), false)
	is.NoErr(err)
	first, next := client.state.View().Page("")
	is.True(next != "" && len(first) < 40_000) // it takes more than one page
	outcome, err := Apply(ctx, client, mustParse(t, fleet), true)
	is.NoErr(err)
	is.Equal(len(outcome.Plan), 0)
	held, _, err := ReadResources(ctx, client)
	is.NoErr(err)
	is.Equal(len(held), len(fleet.Accounts)+3)
}

// An operator removes a client account from the file and gives its key to another. The
// key must be free before the other account takes it, or the whole file is refused.
func TestPruneReleasesKeyBeforeReuse(t *testing.T) {
	is := is.New(t)
	ctx, client := context.Background(), newFakeOperator()
	_, err := Apply(ctx, client, mustParse(t, fleetOf("a", "b")), false)
	is.NoErr(err)
	next := fleetOf("b") // b has a's key now
	outcome, err := Apply(ctx, client, mustParse(t, next), true)
	is.NoErr(err)
	is.Equal(actions(outcome.Plan), "delete account/a, delete budget/a-chat, change account/b")
	is.True(proto.Equal(Export(client.state.View().All()), next))
}

// An operator applies a file that holds no operator tokens, while a node drains.
// Deleting the tokens would lock everybody out, and deleting the drain would put the
// leaving node back into service.
func TestPruneKeepsTokensAndDrains(t *testing.T) {
	is := is.New(t)
	ctx, client := context.Background(), newFakeOperator()
	withToken := fleetOf("a")
	withToken.OperatorTokens = []*operatorv1.OperatorToken{{Name: "night", TokenSha256: sum("f"), Role: operatorv1.Role_ROLE_OPERATE}}
	_, err := Apply(ctx, client, mustParse(t, withToken), false)
	is.NoErr(err)
	drain := &operatorv1.Resource{Kind: &operatorv1.Resource_Drain{Drain: &operatorv1.Drain{Name: "127.0.0.1:7"}}}
	_, err = client.Apply(ctx, &operatorv1.ApplyRequest{ChangeId: "drain", Changes: []*operatorv1.Change{{Resource: drain}}})
	is.NoErr(err)
	outcome, err := Apply(ctx, client, mustParse(t, fleetOf("a")), true)
	is.NoErr(err)
	is.Equal(actions(outcome.Plan), "")
	withToken.OperatorTokens[0].Name = "day"
	outcome, err = Apply(ctx, client, mustParse(t, withToken), true)
	is.NoErr(err)
	is.Equal(actions(outcome.Plan), "delete operator_token/night, create operator_token/day")
}

// Another operator changes an account between this one's reading and its change. The
// file must be refused whole, with none of its other changes in force.
func TestConflictingApplyChangesNothing(t *testing.T) {
	is := is.New(t)
	ctx, client := context.Background(), newFakeOperator()
	_, err := Apply(ctx, client, mustParse(t, fleetOf("a", "b")), false)
	is.NoErr(err)
	next := fleetOf("a", "b")
	next.Accounts[0].Team, next.Accounts[1].Team = "mine", "mine"
	next.TopUps = []*operatorv1.TopUp{{Id: "1", Budget: "a-chat", Tokens: 5}}
	client.race = func() {
		other := &operatorv1.Account{Name: "b", KeySha256: []string{sum("1")}, Team: "other"}
		_, err := client.Apply(ctx, &operatorv1.ApplyRequest{ChangeId: "other", Changes: []*operatorv1.Change{
			{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: other}}}}})
		is.NoErr(err)
	}
	_, err = Apply(ctx, client, mustParse(t, next), false)
	is.Equal(result.CodeOf(err), result.VersionConflict)
	is.Equal(client.state.View().Account("a").GetTeam(), "")
	is.Equal(client.state.View().Account("b").GetTeam(), "other")
	is.Equal(len(client.topUps), 0) // no money moved for a file that was refused
}

func TestErrorListsEveryProblemWithLocation(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf("a", "a")
	fleet.Upstreams[0].Address = "nowhere"
	fleet.Budgets[1].Services = []string{"nosuch"}
	fleet.TopUps = []*operatorv1.TopUp{{Budget: "a-chat"}}
	_, err := FromProto(fleet)
	is.True(err != nil)
	for _, place := range []string{"account/a stands twice", "upstream/engine.address", `names service "nosuch"`, "topUps[0] needs an id"} {
		is.True(strings.Contains(err.Error(), place)) // each mistake is named
	}
}
