package config

import (
	"testing"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// A mistyped priority or token bound would take effect on all nodes within seconds.
func TestValidatePrioritiesAndTokenBounds(t *testing.T) {
	is := is.New(t)
	countProblems := func(r *operatorv1.Resource) int { return len(Validate(r)) }
	account := func(priority int32) *operatorv1.Resource {
		return &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
			Name: "a", KeySha256: []string{HashKey("key")}, Priority: priority}}}
	}
	engineService := func(perKiB uint32) *operatorv1.Resource {
		return &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: &operatorv1.Service{
			Name: "s", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}, MaxTokensPerKib: perKiB,
			MaxContextTokens: 8192, PriorityOrder: operatorv1.PriorityOrder_PRIORITY_ORDER_LOWER_FIRST}}}
	}
	is.Equal(countProblems(account(MinPriority)), 0)
	is.Equal(countProblems(account(MaxPriority)), 0)
	is.Equal(countProblems(account(MinPriority-1)), 1)
	is.Equal(countProblems(account(MaxPriority+1)), 1)
	is.Equal(countProblems(engineService(maxTokensPerKiB)), 0)
	is.Equal(countProblems(engineService(maxTokensPerKiB+1)), 1)
	plain := engineService(1)
	plain.GetService().Kind, plain.GetService().Models = operatorv1.ServiceKind_SERVICE_KIND_PLAIN, nil
	is.Equal(countProblems(plain), 3)
}
