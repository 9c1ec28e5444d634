package config

import (
	"maps"
	"slices"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// withChanges returns a copy of v with the changes applied; v is not modified. Only the
// changed parts are copied. The second value describes the first conflict between
// resources; the view is nil in that case.
func (v *View) withChanges(offset uint64, changes []*operatorv1.Change) (*View, string) {
	next := &View{
		Offset:                 offset,
		resources:              *v.resources.Copy(),
		accountByKeyHash:       *v.accountByKeyHash.Copy(),
		budgetByAccountService: *v.budgetByAccountService.Copy(),
		serviceByModel:         v.serviceByModel,
		serviceByName:          v.serviceByName,
		upstreamsByService:     v.upstreamsByService,
		tokenByHash:            v.tokenByHash,
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

// conflict describes another resource that already owns something that r claims, or
// returns an empty string. If two accounts had one key, one of them would pay for the
// other, and which one would depend on the order of the changes.
func (v *View) conflict(r *operatorv1.Resource) string {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		for _, hash := range kind.Account.GetKeySha256() {
			if name, found := v.accountByKeyHash.Get(rawHash(hash)); found && name != kind.Account.GetName() {
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
			if other := v.serviceByModel[model]; other != nil && other.GetName() != kind.Service.GetName() {
				return "model " + model + " is served by " + other.GetName()
			}
		}
	case *operatorv1.Resource_OperatorToken:
		other := v.tokenByHash[strings.ToLower(kind.OperatorToken.GetTokenSha256())]
		if other != nil && other.GetName() != kind.OperatorToken.GetName() {
			return "the token belongs to operator " + other.GetName()
		}
	}
	return ""
}

func (v *View) put(version uint64, c *operatorv1.Change) {
	key, _ := KeyOf(c.GetResource())
	if existing, found := v.resources.Get(key.String()); found {
		v.unindex(existing.unpack())
		v.resources.Delete(key.String())
	}
	if c.GetDelete() {
		return
	}
	stored := storedResource{version: version, packed: pack(c.GetResource())}
	v.resources.Set(key.String(), stored)
	v.index(stored.unpack())
}

func (v *View) index(r *operatorv1.Resource) {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		for _, hash := range kind.Account.GetKeySha256() {
			v.accountByKeyHash.Set(rawHash(hash), kind.Account.GetName())
		}
	case *operatorv1.Resource_Budget:
		for _, service := range kind.Budget.GetServices() {
			v.budgetByAccountService.Set(budgetKey(kind.Budget.GetAccount(), service), kind.Budget.GetName())
		}
	case *operatorv1.Resource_Service:
		v.serviceByName = cloneWith(v.serviceByName, kind.Service.GetName(), kind.Service)
		for _, model := range kind.Service.GetModels() {
			v.serviceByModel = cloneWith(v.serviceByModel, model, kind.Service)
		}
	case *operatorv1.Resource_Upstream:
		v.replaceUpstream(kind.Upstream, kind.Upstream)
	case *operatorv1.Resource_OperatorToken:
		v.tokenByHash = cloneWith(v.tokenByHash, strings.ToLower(kind.OperatorToken.GetTokenSha256()), kind.OperatorToken)
	}
}

// unindex removes a resource from the indexes. No other resource has the same index
// entries, since conflict rules that out.
func (v *View) unindex(r *operatorv1.Resource) {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		for _, hash := range kind.Account.GetKeySha256() {
			v.accountByKeyHash.Delete(rawHash(hash))
		}
	case *operatorv1.Resource_Budget:
		for _, service := range kind.Budget.GetServices() {
			v.budgetByAccountService.Delete(budgetKey(kind.Budget.GetAccount(), service))
		}
	case *operatorv1.Resource_Service:
		v.serviceByName = cloneWithout(v.serviceByName, kind.Service.GetName())
		for _, model := range kind.Service.GetModels() {
			v.serviceByModel = cloneWithout(v.serviceByModel, model)
		}
	case *operatorv1.Resource_Upstream:
		v.replaceUpstream(kind.Upstream, nil)
	case *operatorv1.Resource_OperatorToken:
		v.tokenByHash = cloneWithout(v.tokenByHash, strings.ToLower(kind.OperatorToken.GetTokenSha256()))
	}
}

// replaceUpstream replaces an upstream in its service's sorted list, or removes it if next
// is nil.
func (v *View) replaceUpstream(current, next *operatorv1.Upstream) {
	list := slices.Clone(v.upstreamsByService[current.GetService()])
	list = slices.DeleteFunc(list, func(u *operatorv1.Upstream) bool { return u.GetName() == current.GetName() })
	if next != nil {
		at, _ := slices.BinarySearchFunc(list, next.GetName(), func(u *operatorv1.Upstream, name string) int {
			return strings.Compare(u.GetName(), name)
		})
		list = slices.Insert(list, at, next)
	}
	v.upstreamsByService = cloneWith(v.upstreamsByService, current.GetService(), list)
}

func cloneWith[V any](m map[string]V, key string, value V) map[string]V {
	copied := maps.Clone(m)
	copied[key] = value
	return copied
}

func cloneWithout[V any](m map[string]V, key string) map[string]V {
	copied := maps.Clone(m)
	delete(copied, key)
	return copied
}
