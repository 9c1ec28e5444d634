package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// View is an immutable picture of the configuration, indexed for the request path.
type View struct {
	// Offset is the log offset of the last change in the view.
	Offset uint64

	accounts    map[string]*operatorv1.Account
	byKey       map[string]*operatorv1.Account
	services    map[string]*operatorv1.Service
	byModel     map[string]*operatorv1.Service
	upstreams   map[string][]*operatorv1.Upstream
	budgets     map[budgetOf]string
	budgetNames map[string]bool
	tokens      map[string]*operatorv1.OperatorToken
	drains      map[string]bool
	all         []*operatorv1.VersionedResource
}

// budgetOf finds the budget that an account's requests to a service draw on.
type budgetOf struct{ account, service string }

func emptyView() *View { return buildView(0, nil) }

func buildView(offset uint64, resources map[Key]*operatorv1.VersionedResource) *View {
	v := &View{
		Offset:      offset,
		accounts:    map[string]*operatorv1.Account{},
		byKey:       map[string]*operatorv1.Account{},
		services:    map[string]*operatorv1.Service{},
		byModel:     map[string]*operatorv1.Service{},
		upstreams:   map[string][]*operatorv1.Upstream{},
		budgets:     map[budgetOf]string{},
		budgetNames: map[string]bool{},
		tokens:      map[string]*operatorv1.OperatorToken{},
		drains:      map[string]bool{},
	}
	for _, key := range sortedKeys(resources) {
		held := resources[key]
		v.all = append(v.all, held)
		v.index(held.GetResource())
	}
	return v
}

func sortedKeys(resources map[Key]*operatorv1.VersionedResource) []Key {
	keys := make([]Key, 0, len(resources))
	for key := range resources {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

func (v *View) index(r *operatorv1.Resource) {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		v.accounts[kind.Account.GetName()] = kind.Account
		for _, sum := range kind.Account.GetKeySha256() {
			v.byKey[strings.ToLower(sum)] = kind.Account
		}
	case *operatorv1.Resource_Budget:
		v.budgetNames[kind.Budget.GetName()] = true
		for _, service := range kind.Budget.GetServices() {
			v.budgets[budgetOf{kind.Budget.GetAccount(), service}] = kind.Budget.GetName()
		}
	case *operatorv1.Resource_Service:
		v.services[kind.Service.GetName()] = kind.Service
		for _, model := range kind.Service.GetModels() {
			v.byModel[model] = kind.Service
		}
	case *operatorv1.Resource_Upstream:
		service := kind.Upstream.GetService()
		v.upstreams[service] = append(v.upstreams[service], kind.Upstream)
	case *operatorv1.Resource_OperatorToken:
		v.tokens[strings.ToLower(kind.OperatorToken.GetTokenSha256())] = kind.OperatorToken
	case *operatorv1.Resource_Drain:
		v.drains[kind.Drain.GetName()] = true
	}
}

// HashKey returns the form in which keys and tokens are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountByKey returns the client account that a caller's key belongs to, or nil.
func (v *View) AccountByKey(key string) *operatorv1.Account { return v.byKey[HashKey(key)] }

// Account returns a client account by name, or nil.
func (v *View) Account(name string) *operatorv1.Account { return v.accounts[name] }

// Service returns a service by name, or nil.
func (v *View) Service(name string) *operatorv1.Service { return v.services[name] }

// ServiceByModel returns the service that serves a model, or nil.
func (v *View) ServiceByModel(model string) *operatorv1.Service { return v.byModel[model] }

// Upstreams returns the upstreams of a service, drained ones included.
func (v *View) Upstreams(service string) []*operatorv1.Upstream { return v.upstreams[service] }

// Budget returns the name of the budget that an account's requests to a service
// draw on; empty when there is none.
func (v *View) Budget(account, service string) string {
	return v.budgets[budgetOf{account, service}]
}

// OperatorToken returns the token's declaration, or nil.
func (v *View) OperatorToken(token string) *operatorv1.OperatorToken {
	return v.tokens[HashKey(token)]
}

// HasOperatorTokens tells whether any operator token exists yet.
func (v *View) HasOperatorTokens() bool { return len(v.tokens) > 0 }

// Drained tells whether operators asked the node at a peer address to leave.
func (v *View) Drained(peerAddress string) bool { return v.drains[peerAddress] }

// All returns every resource with its version, sorted by kind and name.
func (v *View) All() []*operatorv1.VersionedResource { return v.all }

// HasBudget tells whether a budget of that name exists.
func (v *View) HasBudget(name string) bool { return v.budgetNames[name] }

// Services returns all services, sorted by name.
func (v *View) Services() []*operatorv1.Service {
	var all []*operatorv1.Service
	for _, held := range v.all {
		if service := held.GetResource().GetService(); service != nil {
			all = append(all, service)
		}
	}
	return all
}
