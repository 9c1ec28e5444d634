package config

import (
	"maps"
	"slices"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// edit returns a view with the changes made; v stays as it is. Only what a change
// touches is copied. The second value names the first conflict between resources;
// the view is nil then.
func (v *View) edit(offset uint64, changes []*operatorv1.Change) (*View, string) {
	next := &View{
		Offset:       offset,
		resources:    *v.resources.Copy(),
		accountOfKey: *v.accountOfKey.Copy(),
		budgetOf:     *v.budgetOf.Copy(),
		byModel:      v.byModel,
		services:     v.services,
		upstreams:    v.upstreams,
		tokens:       v.tokens,
	}
	for _, c := range changes {
		if !c.GetDelete() {
			if conflict := next.conflict(c.GetResource()); conflict != "" {
				return nil, conflict
			}
		}
		next.put(offset, c)
	}
	return next, ""
}

// conflict names another resource that already has what r asks for itself; empty
// for none. Two accounts with one key would have one pay for the other, and which
// one would depend on the order of the changes.
func (v *View) conflict(r *operatorv1.Resource) string {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		for _, sum := range kind.Account.GetKeySha256() {
			if name, found := v.accountOfKey.Get(rawSum(sum)); found && name != kind.Account.GetName() {
				return "a key of account " + kind.Account.GetName() + " belongs to account " + name
			}
		}
	case *operatorv1.Resource_Budget:
		for _, service := range kind.Budget.GetServices() {
			if name := v.BudgetName(kind.Budget.GetAccount(), service); name != "" && name != kind.Budget.GetName() {
				return "account " + kind.Budget.GetAccount() + " draws on budget " + name + " for service " + service
			}
		}
	case *operatorv1.Resource_Service:
		for _, model := range kind.Service.GetModels() {
			if held := v.byModel[model]; held != nil && held.GetName() != kind.Service.GetName() {
				return "model " + model + " is served by " + held.GetName()
			}
		}
	case *operatorv1.Resource_OperatorToken:
		held := v.tokens[strings.ToLower(kind.OperatorToken.GetTokenSha256())]
		if held != nil && held.GetName() != kind.OperatorToken.GetName() {
			return "the token belongs to operator " + held.GetName()
		}
	}
	return ""
}

func (v *View) put(version uint64, c *operatorv1.Change) {
	key, _ := KeyOf(c.GetResource())
	if held, found := v.resources.Get(key.String()); found {
		v.unindex(held.unpack())
		v.resources.Delete(key.String())
	}
	if c.GetDelete() {
		return
	}
	held := stored{version: version, packed: pack(c.GetResource())}
	v.resources.Set(key.String(), held)
	v.index(held.unpack())
}

func (v *View) index(r *operatorv1.Resource) {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		for _, sum := range kind.Account.GetKeySha256() {
			v.accountOfKey.Set(rawSum(sum), kind.Account.GetName())
		}
	case *operatorv1.Resource_Budget:
		for _, service := range kind.Budget.GetServices() {
			v.budgetOf.Set(budgetKey(kind.Budget.GetAccount(), service), kind.Budget.GetName())
		}
	case *operatorv1.Resource_Service:
		v.services = with(v.services, kind.Service.GetName(), kind.Service)
		for _, model := range kind.Service.GetModels() {
			v.byModel = with(v.byModel, model, kind.Service)
		}
	case *operatorv1.Resource_Upstream:
		v.setUpstreams(kind.Upstream, kind.Upstream)
	case *operatorv1.Resource_OperatorToken:
		v.tokens = with(v.tokens, strings.ToLower(kind.OperatorToken.GetTokenSha256()), kind.OperatorToken)
	}
}

// unindex takes a resource out of the indexes. Nothing else points there, since
// conflict keeps two resources from asking for the same.
func (v *View) unindex(r *operatorv1.Resource) {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		for _, sum := range kind.Account.GetKeySha256() {
			v.accountOfKey.Delete(rawSum(sum))
		}
	case *operatorv1.Resource_Budget:
		for _, service := range kind.Budget.GetServices() {
			v.budgetOf.Delete(budgetKey(kind.Budget.GetAccount(), service))
		}
	case *operatorv1.Resource_Service:
		v.services = without(v.services, kind.Service.GetName())
		for _, model := range kind.Service.GetModels() {
			v.byModel = without(v.byModel, model)
		}
	case *operatorv1.Resource_Upstream:
		v.setUpstreams(kind.Upstream, nil)
	case *operatorv1.Resource_OperatorToken:
		v.tokens = without(v.tokens, strings.ToLower(kind.OperatorToken.GetTokenSha256()))
	}
}

// setUpstreams replaces an upstream within its service's sorted list, or removes it
// when next is nil.
func (v *View) setUpstreams(held, next *operatorv1.Upstream) {
	list := slices.Clone(v.upstreams[held.GetService()])
	list = slices.DeleteFunc(list, func(u *operatorv1.Upstream) bool { return u.GetName() == held.GetName() })
	if next != nil {
		at, _ := slices.BinarySearchFunc(list, next.GetName(), func(u *operatorv1.Upstream, name string) int {
			return strings.Compare(u.GetName(), name)
		})
		list = slices.Insert(list, at, next)
	}
	v.upstreams = with(v.upstreams, held.GetService(), list)
}

func with[V any](m map[string]V, key string, value V) map[string]V {
	copied := maps.Clone(m)
	copied[key] = value
	return copied
}

func without[V any](m map[string]V, key string) map[string]V {
	copied := maps.Clone(m)
	delete(copied, key)
	return copied
}
