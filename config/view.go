package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/tidwall/btree"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// View is an immutable picture of the configuration, indexed for the request path.
//
// Its maps are copy-on-write trees that share all unchanged nodes with the views
// before it, and accounts and budgets are held packed: at the size designed for
// there are a quarter of a million of them, and thousands of changes a day.
type View struct {
	// Offset is the log offset of the last change in the view.
	Offset uint64

	resources btree.Map[string, stored]
	// accountOfKey finds a client account's name by the sum of a key.
	accountOfKey btree.Map[string, string]
	// budgetOf finds a budget's name by client account and service.
	budgetOf  btree.Map[string, string]
	byModel   map[string]*operatorv1.Service
	services  map[string]*operatorv1.Service
	upstreams map[string][]*operatorv1.Upstream
	tokens    map[string]*operatorv1.OperatorToken
}

// stored is a resource at rest.
type stored struct {
	version uint64
	// packed is the marshalled operator.v1.Resource.
	packed string
}

func pack(r *operatorv1.Resource) string {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err) // messages that were unmarshalled always marshal
	}
	return string(data)
}

func (s stored) unpack() *operatorv1.Resource {
	r := &operatorv1.Resource{}
	if err := proto.Unmarshal([]byte(s.packed), r); err != nil {
		panic(err) // pack made it
	}
	return r
}

func emptyView() *View {
	return &View{
		byModel:   map[string]*operatorv1.Service{},
		services:  map[string]*operatorv1.Service{},
		upstreams: map[string][]*operatorv1.Upstream{},
		tokens:    map[string]*operatorv1.OperatorToken{},
	}
}

// HashKey returns the form in which keys and tokens are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// rawSum is the form in which sums are indexed: half as long as the hex text.
func rawSum(hexSum string) string {
	raw, err := hex.DecodeString(strings.ToLower(hexSum))
	if err != nil {
		return hexSum
	}
	return string(raw)
}

func budgetKey(account, service string) string { return account + "\x00" + service }

func (v *View) get(key Key) *operatorv1.Resource {
	held, found := v.resources.Get(key.String())
	if !found {
		return nil
	}
	return held.unpack()
}

// AccountByKey returns the client account that a caller's key belongs to, or nil.
func (v *View) AccountByKey(key string) *operatorv1.Account {
	sum := sha256.Sum256([]byte(key))
	name, found := v.accountOfKey.Get(string(sum[:]))
	if !found {
		return nil
	}
	return v.Account(name)
}

// Account returns a client account by name, or nil.
func (v *View) Account(name string) *operatorv1.Account {
	return v.get(Key{KindAccount, name}).GetAccount()
}

// Service returns a service by name, or nil.
func (v *View) Service(name string) *operatorv1.Service { return v.services[name] }

// Services returns all services, sorted by name.
func (v *View) Services() []*operatorv1.Service {
	var all []*operatorv1.Service
	v.each(KindService, func(name string, _ stored) { all = append(all, v.services[name]) })
	return all
}

// ServiceByModel returns the service that serves a model, or nil.
func (v *View) ServiceByModel(model string) *operatorv1.Service { return v.byModel[model] }

// Upstreams returns the upstreams of a service, drained ones included, sorted by name.
func (v *View) Upstreams(service string) []*operatorv1.Upstream { return v.upstreams[service] }

// Upstream returns an upstream by name, or nil.
func (v *View) Upstream(name string) *operatorv1.Upstream {
	return v.get(Key{KindUpstream, name}).GetUpstream()
}

// BudgetName returns the name of the budget that an account's requests to a service
// draw on; empty when there is none.
func (v *View) BudgetName(account, service string) string {
	name, _ := v.budgetOf.Get(budgetKey(account, service))
	return name
}

// HasBudget tells whether a budget of that name exists.
func (v *View) HasBudget(name string) bool {
	_, found := v.resources.Get(Key{KindBudget, name}.String())
	return found
}

// OperatorToken returns the token's declaration, or nil.
func (v *View) OperatorToken(token string) *operatorv1.OperatorToken {
	return v.tokens[HashKey(token)]
}

// HasOperatorTokens tells whether any operator token exists yet.
func (v *View) HasOperatorTokens() bool { return len(v.tokens) > 0 }

// IsDrained tells whether operators asked the node at a peer address to leave.
func (v *View) IsDrained(peerAddress string) bool {
	_, found := v.resources.Get(Key{KindDrain, peerAddress}.String())
	return found
}

// Versioned returns one resource with its version; nil when there is none.
func (v *View) Versioned(key Key) *operatorv1.VersionedResource {
	held, found := v.resources.Get(key.String())
	if !found {
		return nil
	}
	return held.versioned()
}

// All returns every resource with its version, sorted by kind and name. It unpacks
// them all: for operators, not for what runs often.
func (v *View) All() []*operatorv1.VersionedResource {
	all := make([]*operatorv1.VersionedResource, 0, v.resources.Len())
	v.resources.Scan(func(_ string, held stored) bool {
		all = append(all, held.versioned())
		return true
	})
	return all
}

// each visits the resources of a kind in the order of their names.
func (v *View) each(kind Kind, visit func(name string, held stored)) {
	prefix := string(kind) + "/"
	v.resources.Ascend(prefix, func(key string, held stored) bool {
		name, found := strings.CutPrefix(key, prefix)
		if found {
			visit(name, held)
		}
		return found
	})
}
