package event

import "maps"

// Kind describes an event number in the catalogue.
type Kind struct {
	Name string
	// Meaning is a one-sentence description.
	Meaning string
}

// Kind returns the kind of event with this number, or a zero Kind if there is none.
func (n Number) Kind() Kind { return catalogue[n] }

// All returns all kinds of events by number.
func All() map[Number]Kind { return maps.Clone(catalogue) }

var catalogue = merge(nodeKinds, logKinds, budgetKinds, requestKinds, upstreamKinds, fleetKinds)

func merge(groups ...map[Number]Kind) map[Number]Kind {
	all := map[Number]Kind{}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}
