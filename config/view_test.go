package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

var sampleNames = []string{"a", "b", "c"}

// drawChange draws a change of any kind whose names and keys overlap with others.
func drawChange(t *rapid.T) *operatorv1.Change {
	name := rapid.SampledFrom(sampleNames).Draw(t, "name")
	other := rapid.SampledFrom(sampleNames).Draw(t, "other")
	r := &operatorv1.Resource{}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		r.Kind = &operatorv1.Resource_Account{Account: &operatorv1.Account{Name: name, KeySha256: []string{HashKey(other)}}}
	case 1:
		r.Kind = &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{Name: name, Account: other, Services: []string{name, other}}}
	case 2:
		r.Kind = &operatorv1.Resource_Service{Service: &operatorv1.Service{Name: name, Models: []string{other}}}
	case 3:
		r.Kind = &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{Name: name, Service: other}}
	case 4:
		r.Kind = &operatorv1.Resource_OperatorToken{OperatorToken: &operatorv1.OperatorToken{Name: name, TokenSha256: HashKey(other)}}
	}
	return &operatorv1.Change{AnyVersion: true, Resource: r, Delete: rapid.Bool().Draw(t, "delete")}
}

// Whatever changes come, what the request path looks up is what the resources say.
// An index that kept a deleted key would let a caller in whom operators shut out.
func TestIndexesMatchResources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(nil)
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			s.Apply(fold.Position{Offset: uint64(i + 1)}, &recordv1.Entry{Body: &recordv1.Entry_Config{
				Config: &recordv1.ConfigChange{ChangeId: fmt.Sprint(i), Changes: []*operatorv1.Change{drawChange(t)}}}})
			checkIndexes(t, s.View())
		}
	})
}

func checkIndexes(t *rapid.T, v *View) {
	upstreams, services, tokens := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, held := range v.All() {
		key, _ := KeyOf(held.GetResource())
		if !proto.Equal(v.Versioned(key), held) {
			t.Fatalf("%s alone is not what the list has", key)
		}
		r := held.GetResource()
		upstreams[r.GetUpstream().GetName()] = true
		services[r.GetService().GetName()] = true
		tokens[r.GetOperatorToken().GetName()] = true
	}
	for _, name := range sampleNames {
		if account := v.AccountByKey(name); account != nil && account.GetKeySha256()[0] != HashKey(name) {
			t.Fatalf("key %s finds account %s, which doesn't have it", name, account.GetName())
		}
		if token := v.OperatorToken(name); token != nil && !tokens[token.GetName()] {
			t.Fatalf("token %s stands for the deleted %s", name, token.GetName())
		}
		if service := v.ServiceByModel(name); service != nil && !services[service.GetName()] {
			t.Fatalf("model %s is served by the deleted %s", name, service.GetName())
		}
		for _, u := range v.Upstreams(name) {
			if !upstreams[u.GetName()] || u.GetService() != name {
				t.Fatalf("service %s lists upstream %s", name, u)
			}
		}
		for _, service := range sampleNames {
			if budget := v.BudgetName(name, service); budget != "" && !v.HasBudget(budget) {
				t.Fatalf("account %s draws on the deleted budget %s", name, budget)
			}
		}
	}
}

// A view that was handed to a request must not change under it when operators go on.
func TestViewsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(nil)
		var views []*View
		var pictures [][]*operatorv1.VersionedResource
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			s.Apply(fold.Position{Offset: uint64(i + 1)}, &recordv1.Entry{Body: &recordv1.Entry_Config{
				Config: &recordv1.ConfigChange{ChangeId: fmt.Sprint(i), Changes: []*operatorv1.Change{drawChange(t), drawChange(t)}}}})
			views = append(views, s.View())
			pictures = append(pictures, s.View().All())
		}
		for i, view := range views {
			for j, held := range view.All() {
				if !proto.Equal(held, pictures[i][j]) {
					t.Fatalf("view %d changed: %s is now %s", i, pictures[i][j], held)
				}
			}
		}
	})
}

// Two client accounts are given the same key. Were both accepted, one would pay for
// the other's requests.
func TestKeyCannotBelongToTwoAccounts(t *testing.T) {
	is := is.New(t)
	s := NewState(nil)
	give := func(offset uint64, account string) fold.Verdict {
		verdict, _ := s.Apply(fold.Position{Offset: offset}, &recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{
			ChangeId: account, Changes: []*operatorv1.Change{{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{
				Account: &operatorv1.Account{Name: account, KeySha256: []string{HashKey("k")}}}}}}}}})
		return verdict
	}
	is.True(give(1, "a").OK())
	is.Equal(give(2, "b").Code, result.InvalidResource)
	is.Equal(s.View().AccountByKey("k").GetName(), "a")
}

func TestSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	s := NewState(nil)
	change := &recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: "1", Changes: []*operatorv1.Change{
		{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{Name: "a", KeySha256: []string{HashKey("k")}}}}},
	}}}}
	first, _ := s.Apply(fold.Position{Offset: 7}, change)
	data, err := s.Snapshot()
	is.NoErr(err)
	restored := NewState(nil)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.View().AccountByKey("k").GetName(), "a")
	is.Equal(restored.View().Offset, uint64(7))
	again, _ := restored.Apply(fold.Position{Offset: 9}, change)
	is.Equal(again, first) // the change id is remembered
}
