package config

import (
	"testing"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// A mistyped priority or token bound would be in force everywhere within seconds.
func TestValidatePrioritiesAndTokenBounds(t *testing.T) {
	is := is.New(t)
	mistakes := func(r *operatorv1.Resource) int { return len(Validate(r)) }
	account := func(priority int32) *operatorv1.Resource {
		return &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
			Name: "a", KeySha256: []string{HashKey("key")}, Priority: priority}}}
	}
	engines := func(perKiB uint32) *operatorv1.Resource {
		return &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{
			Name: "s", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}, MaxTokensPerKib: perKiB,
			MaxContextTokens: 8192, PriorityOrder: operatorv1.PriorityOrder_PRIORITY_ORDER_LOWER_FIRST}}}
	}
	is.Equal(mistakes(account(MinPriority)), 0)
	is.Equal(mistakes(account(MaxPriority)), 0)
	is.Equal(mistakes(account(MinPriority-1)), 1)
	is.Equal(mistakes(account(MaxPriority+1)), 1)
	is.Equal(mistakes(engines(mostTokensPerKiB)), 0)
	is.Equal(mistakes(engines(mostTokensPerKiB+1)), 1)
	plain := engines(1)
	plain.GetService().Kind, plain.GetService().Models = operatorv1.ServiceKind_SERVICE_KIND_PLAIN, nil
	is.Equal(mistakes(plain), 3)
}
