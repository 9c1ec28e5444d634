package check

import (
	"fmt"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// Names and sizes of the configuration that every history starts with.
const (
	engineService = "chat"
	plainService  = "orders"
	fixtureModel  = "lavender-small"
	spareUpstream = "plain-spare"
	// callTokens is the cost of one plain call.
	callTokens = 5

	enginesPerRegion = 2
)

// fixtureAccounts are the client accounts: one with ample budget, and one whose budget runs
// out.
var fixtureAccounts = []string{"rich", "poor"}

func budgetOf(account string) string { return account + "-budget" }

// fixtureTopUps is what each account prepays at the start, in tokens.
var fixtureTopUps = map[string]uint64{"rich": 200_000, "poor": 2_000}

// fixtureResources returns the configuration of every history: two engines and a plain
// service in each region, and a spare upstream whose changes are checked.
func fixtureResources() []*operatorv1.Resource {
	resources := []*operatorv1.Resource{
		engineServiceWithVersion("1"),
		serviceResource(&operatorv1.Service{Name: plainService, Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN, Calls: []*operatorv1.Call{
			{Method: "GET", Path: "/", Idempotent: true, Tokens: callTokens},
			{Method: "POST", Path: "/", Tokens: callTokens},
		}}),
		upstreamResource(RegionHome, spareUpstream, plainService, true),
	}
	for _, account := range fixtureAccounts {
		resources = append(resources,
			&operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
				Name: account, Team: account, KeySha256: []string{config.HashKey(accountKey + account)}}}},
			&operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{
				Name: budgetOf(account), Account: account, Services: []string{engineService, plainService}}}})
	}
	for i, region := range []string{RegionHome, RegionAway} {
		for j := range enginesPerRegion {
			engine := upstreamResource(region, engineName(i, j), engineService, false)
			engine.GetUpstream().ChecksFencing = j == 0
			resources = append(resources, engine)
		}
		resources = append(resources, upstreamResource(region, fmt.Sprintf("plain-%d", i), plainService, false))
	}
	return resources
}

func engineName(region, number int) string { return fmt.Sprintf("engine-%d-%d", region, number) }

// homeEngines lists the engines of RegionHome.
func homeEngines() []string {
	var names []string
	for j := range enginesPerRegion {
		names = append(names, engineName(0, j))
	}
	return names
}

// engineServiceWithVersion declares the model version that engines should hold.
func engineServiceWithVersion(version string) *operatorv1.Resource {
	return serviceResource(&operatorv1.Service{Name: engineService, Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{fixtureModel},
		Desired: []*operatorv1.DesiredModel{{Model: fixtureModel, Version: version, CopiesPerRegion: 1}}})
}

func serviceResource(s *operatorv1.Service) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: s}}
}

func upstreamResource(region, name, serviceName string, draining bool) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{
		Name: name, Service: serviceName, Address: "127.0.0.1:1", Region: region, DataCentre: region + "-a", Draining: draining}}}
}
