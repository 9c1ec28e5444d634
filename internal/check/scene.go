package check

import (
	"fmt"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// Names of what every history is about.
const (
	engineService = "chat"
	plainService  = "orders"
	sceneModel    = "lavender-small"
	spareUpstream = "plain-spare"
	// callTokens is what one plain call costs.
	callTokens = 5

	enginesPerRegion = 2
)

// sceneAccounts are the client accounts: a rich one, and one whose budget runs out.
var sceneAccounts = []string{"rich", "poor"}

func budgetOf(account string) string { return account + "-budget" }

// sceneTopUps is what each account prepaid at the start, in tokens.
var sceneTopUps = map[string]uint64{"rich": 200_000, "poor": 2_000}

// scene is the configuration of every history: two engines and a plain service in
// each region, and a spare upstream whose changes are watched.
func scene() []*operatorv1.Resource {
	resources := []*operatorv1.Resource{
		engineServiceAt("1"),
		service(&operatorv1.Service{Name: plainService, Kind: operatorv1.ServiceKind_SERVICE_KIND_PLAIN, Calls: []*operatorv1.Call{
			{Method: "GET", Path: "/", Idempotent: true, Tokens: callTokens},
			{Method: "POST", Path: "/", Tokens: callTokens},
		}}),
		upstreamIn(RegionHome, spareUpstream, plainService, true),
	}
	for _, account := range sceneAccounts {
		resources = append(resources,
			&operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
				Name: account, Team: account, KeySha256: []string{config.HashKey(accountKey + account)}}}},
			&operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{
				Name: budgetOf(account), Account: account, Services: []string{engineService, plainService}}}})
	}
	for i, region := range []string{RegionHome, RegionAway} {
		for j := range enginesPerRegion {
			engine := upstreamIn(region, engineName(i, j), engineService, false)
			engine.GetUpstream().ChecksFencing = j == 0
			resources = append(resources, engine)
		}
		resources = append(resources, upstreamIn(region, fmt.Sprintf("plain-%d", i), plainService, false))
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

// engineServiceAt declares the model's version that engines should hold.
func engineServiceAt(version string) *operatorv1.Resource {
	return service(&operatorv1.Service{Name: engineService, Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{sceneModel},
		Desired: []*operatorv1.DesiredModel{{Model: sceneModel, Version: version, CopiesPerRegion: 1}}})
}

func service(s *operatorv1.Service) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: s}}
}

func upstreamIn(region, name, of string, draining bool) *operatorv1.Resource {
	return &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{
		Name: name, Service: of, Address: "127.0.0.1:1", Region: region, DataCentre: region + "-a", Draining: draining}}}
}
