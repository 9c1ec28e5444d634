package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/tidwall/btree"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// View is an immutable snapshot of the configuration, indexed for the request path.
//
// Its maps are copy-on-write trees that share all unchanged nodes with earlier views, and
// accounts and budgets are stored in marshalled form: the design size is a quarter of a
// million of them, with thousands of changes a day.
type View struct {
	// Offset is the log offset of the last change included in the view.
	Offset uint64

	resources btree.Map[string, storedResource]
	// accountByKeyHash maps the hash of a caller's key to the client account's name.
	accountByKeyHash btree.Map[string, string]
	// budgetByAccountService maps a client account and service to the budget's name.
	budgetByAccountService btree.Map[string, string]
	serviceByModel         map[string]*operatorv1.Service
	serviceByName          map[string]*operatorv1.Service
	upstreamsByService     map[string][]*operatorv1.Upstream
	tokenByHash            map[string]*operatorv1.OperatorToken
}

// storedResource is a resource in marshalled form, with its version.
type storedResource struct {
	version uint64
	// packed is the marshalled operator.v1.Resource.
	packed string
}

func pack(r *operatorv1.Resource) string {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err) // unmarshalled messages can always be marshalled
	}
	return string(data)
}

func (s storedResource) unpack() *operatorv1.Resource {
	r := &operatorv1.Resource{}
	if err := proto.Unmarshal([]byte(s.packed), r); err != nil {
		panic(err) // created by pack
	}
	return r
}

func emptyView() *View {
	return &View{
		serviceByModel:     map[string]*operatorv1.Service{},
		serviceByName:      map[string]*operatorv1.Service{},
		upstreamsByService: map[string][]*operatorv1.Upstream{},
		tokenByHash:        map[string]*operatorv1.OperatorToken{},
	}
}

// HashKey returns the hex SHA-256 hash under which keys and tokens are stored.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// rawHash decodes a hex hash into the form used in the index, which is half as long.
func rawHash(hexHash string) string {
	raw, err := hex.DecodeString(strings.ToLower(hexHash))
	if err != nil {
		return hexHash
	}
	return string(raw)
}

func budgetKey(account, service string) string { return account + "\x00" + service }

func (v *View) get(key Key) *operatorv1.Resource {
	stored, found := v.resources.Get(key.String())
	if !found {
		return nil
	}
	return stored.unpack()
}

// AccountByKey returns the client account that owns a caller's key, or nil.
func (v *View) AccountByKey(key string) *operatorv1.Account {
	hash := sha256.Sum256([]byte(key))
	name, found := v.accountByKeyHash.Get(string(hash[:]))
	if !found {
		return nil
	}
	return v.Account(name)
}

// Account returns the client account with the given name, or nil.
func (v *View) Account(name string) *operatorv1.Account {
	return v.get(Key{KindAccount, name}).GetAccount()
}

// Service returns the service with the given name, or nil.
func (v *View) Service(name string) *operatorv1.Service { return v.serviceByName[name] }

// Services returns all services, sorted by name.
func (v *View) Services() []*operatorv1.Service {
	var all []*operatorv1.Service
	v.forEach(KindService, func(name string, _ storedResource) { all = append(all, v.serviceByName[name]) })
	return all
}

// ServiceByModel returns the service that provides a model, or nil.
func (v *View) ServiceByModel(model string) *operatorv1.Service { return v.serviceByModel[model] }

// Upstreams returns the upstreams of a service, including drained ones, sorted by name.
func (v *View) Upstreams(service string) []*operatorv1.Upstream { return v.upstreamsByService[service] }

// Upstream returns the upstream with the given name, or nil.
func (v *View) Upstream(name string) *operatorv1.Upstream {
	return v.get(Key{KindUpstream, name}).GetUpstream()
}

// BudgetName returns the name of the budget that pays for an account's requests to a
// service, or an empty string.
func (v *View) BudgetName(account, service string) string {
	name, _ := v.budgetByAccountService.Get(budgetKey(account, service))
	return name
}

// HasBudget reports whether a budget with the given name exists.
func (v *View) HasBudget(name string) bool {
	_, found := v.resources.Get(Key{KindBudget, name}.String())
	return found
}

// OperatorToken returns the resource of an operator token, or nil.
func (v *View) OperatorToken(token string) *operatorv1.OperatorToken {
	return v.tokenByHash[HashKey(token)]
}

// HasOperatorTokens reports whether any operator token exists.
func (v *View) HasOperatorTokens() bool { return len(v.tokenByHash) > 0 }

// IsDrained reports whether operators requested a drain of the node at a peer address.
func (v *View) IsDrained(peerAddress string) bool {
	_, found := v.resources.Get(Key{KindDrain, peerAddress}.String())
	return found
}

// Versioned returns the resource with the given key and its version, or nil.
func (v *View) Versioned(key Key) *operatorv1.VersionedResource {
	stored, found := v.resources.Get(key.String())
	if !found {
		return nil
	}
	return stored.versioned()
}

// All returns all resources with their versions, sorted by kind and name. It unmarshals
// all of them, so it is meant for operator calls and not for frequent use.
func (v *View) All() []*operatorv1.VersionedResource {
	all := make([]*operatorv1.VersionedResource, 0, v.resources.Len())
	v.resources.Scan(func(_ string, stored storedResource) bool {
		all = append(all, stored.versioned())
		return true
	})
	return all
}

// forEach calls visit for each resource of a kind, sorted by name.
func (v *View) forEach(kind Kind, visit func(name string, stored storedResource)) {
	prefix := string(kind) + "/"
	v.resources.Ascend(prefix, func(key string, stored storedResource) bool {
		name, found := strings.CutPrefix(key, prefix)
		if found {
			visit(name, stored)
		}
		return found
	})
}
