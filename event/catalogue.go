package event

import "maps"

// Kind describes a number for the catalogue in the docs.
type Kind struct {
	Name string
	// Meaning is one sentence for people.
	Meaning string
}

// Kind returns the description of the number.
func (n Number) Kind() Kind { return catalogue[n] }

// All returns every known event.
func All() map[Number]Kind { return maps.Clone(catalogue) }

var catalogue = merge(nodeKinds, logKinds, budgetKinds, requestKinds, upstreamKinds, fleetKinds)

func merge(groups ...map[Number]Kind) map[Number]Kind {
	all := map[Number]Kind{}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}
