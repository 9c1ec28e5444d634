package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// The priorities that an account may be given.
const (
	MinPriority = -10
	MaxPriority = 10
)

// mostTokensPerKiB is one token per byte: no text has more.
const mostTokensPerKiB = 1024

// ValidateChanges checks each resource by itself and names every mistake with its
// place; the error has code InvalidResource.
func ValidateChanges(changes []*operatorv1.Change) error {
	var mistakes []string
	for i, c := range changes {
		for _, m := range Validate(c.GetResource()) {
			mistakes = append(mistakes, fmt.Sprintf("changes[%d].%s", i, m))
		}
	}
	if len(mistakes) > 0 {
		return result.New(result.InvalidResource, "%s", strings.Join(mistakes, "; "))
	}
	return nil
}

// Validate returns the mistakes within one resource, each with its field.
func Validate(r *operatorv1.Resource) []string {
	key, ok := KeyOf(r)
	if !ok {
		return []string{"resource: holds nothing"}
	}
	v := &validator{place: key.String()}
	v.require("name", key.Name != "", "is empty")
	switch kind := r.GetKind().(type) {
	case *operatorv1.Resource_Account:
		v.sums("key_sha256", kind.Account.GetKeySha256()...)
		priority := kind.Account.GetPriority()
		v.require("priority", priority >= MinPriority && priority <= MaxPriority, "isn't from -10 to 10")
	case *operatorv1.Resource_Budget:
		v.require("account", kind.Budget.GetAccount() != "", "is empty")
		v.require("services", len(kind.Budget.GetServices()) > 0, "is empty")
	case *operatorv1.Resource_Service:
		v.service(kind.Service)
	case *operatorv1.Resource_Upstream:
		v.upstream(kind.Upstream)
	case *operatorv1.Resource_OperatorToken:
		v.sums("token_sha256", kind.OperatorToken.GetTokenSha256())
		v.require("role", kind.OperatorToken.GetRole() != operatorv1.Role_ROLE_UNSPECIFIED, "is not set")
	}
	return v.mistakes
}

type validator struct {
	place    string
	mistakes []string
}

func (v *validator) require(field string, ok bool, rule string) {
	if !ok {
		v.mistakes = append(v.mistakes, fmt.Sprintf("%s.%s %s", v.place, field, rule))
	}
}

func (v *validator) sums(field string, sums ...string) {
	v.require(field, len(sums) > 0, "is empty")
	for _, sum := range sums {
		raw, err := hex.DecodeString(sum)
		v.require(field, err == nil && len(raw) == 32, "isn't a hex SHA-256 sum")
	}
}

func (v *validator) service(s *operatorv1.Service) {
	switch s.GetKind() {
	case operatorv1.ServiceKind_SERVICE_KIND_ENGINE:
		v.require("models", len(s.GetModels()) > 0, "is empty")
		v.require("calls", len(s.GetCalls()) == 0, "is for plain services")
		v.require("max_tokens_per_kib", s.GetMaxTokensPerKib() <= mostTokensPerKiB, "is more than one token per byte")
	case operatorv1.ServiceKind_SERVICE_KIND_PLAIN:
		v.require("models", len(s.GetModels()) == 0, "is for engines")
		v.require("max_context_tokens", s.GetMaxContextTokens() == 0, "is for engines")
		v.require("max_tokens_per_kib", s.GetMaxTokensPerKib() == 0, "is for engines")
		v.require("priority_order", s.GetPriorityOrder() == operatorv1.PriorityOrder_PRIORITY_ORDER_UNSPECIFIED, "is for engines")
	default:
		v.require("kind", false, "is not set")
	}
	for i, call := range s.GetCalls() {
		v.require(fmt.Sprintf("calls[%d].path", i), strings.HasPrefix(call.GetPath(), "/"), "doesn't begin with a slash")
	}
}

func (v *validator) upstream(u *operatorv1.Upstream) {
	host, _, err := net.SplitHostPort(u.GetAddress())
	v.require("address", err == nil && net.ParseIP(host) != nil, "isn't IP:port")
	v.require("service", u.GetService() != "", "is empty")
	v.require("region", u.GetRegion() != "", "is empty")
	v.require("data_centre", u.GetDataCentre() != "", "is empty")
}
