package fleetfile

import (
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Export returns the current resources as a message to be written to a fleet file.
// Applying that file changes nothing. Drains aren't part of a file, and top-ups are
// omitted: they have been applied, and only the budgets know their ids.
func Export(current []*operatorv1.VersionedResource) *operatorv1.Fleet {
	fleet := &operatorv1.Fleet{}
	for _, r := range current {
		if r.GetDeleted() {
			continue
		}
		switch kind := r.GetResource().GetKind().(type) {
		case *operatorv1.Resource_Account:
			fleet.Accounts = append(fleet.Accounts, kind.Account)
		case *operatorv1.Resource_Budget:
			fleet.Budgets = append(fleet.Budgets, kind.Budget)
		case *operatorv1.Resource_Service:
			fleet.Services = append(fleet.Services, kind.Service)
		case *operatorv1.Resource_Upstream:
			fleet.Upstreams = append(fleet.Upstreams, kind.Upstream)
		case *operatorv1.Resource_OperatorToken:
			fleet.OperatorTokens = append(fleet.OperatorTokens, kind.OperatorToken)
		}
	}
	return fleet
}
