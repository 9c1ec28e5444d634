package config

import (
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Kind is a kind of resource.
type Kind string

// The kinds of resources.
const (
	KindAccount  Kind = "account"
	KindBudget   Kind = "budget"
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
	KindToken    Kind = "operator_token"
	KindDrain    Kind = "drain"
)

// Key identifies a resource.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// KeyOf returns the key of a resource, and false if its kind isn't set.
func KeyOf(r *operatorv1.Resource) (Key, bool) {
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		return Key{KindAccount, kind.Account.GetName()}, true
	case *operatorv1.Resource_Budget:
		return Key{KindBudget, kind.Budget.GetName()}, true
	case *operatorv1.Resource_Service:
		return Key{KindService, kind.Service.GetName()}, true
	case *operatorv1.Resource_Upstream:
		return Key{KindUpstream, kind.Upstream.GetName()}, true
	case *operatorv1.Resource_OperatorToken:
		return Key{KindToken, kind.OperatorToken.GetName()}, true
	case *operatorv1.Resource_Drain:
		return Key{KindDrain, kind.Drain.GetName()}, true
	}
	return Key{}, false
}
