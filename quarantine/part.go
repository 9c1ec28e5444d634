package quarantine

import "strings"

// Part is a part of a prompt that several requests may share.
type Part struct {
	// ID is its name in the logs, Model the model that reads it.
	ID, Model string
}

// id returns the part's ID among all models'.
func (p Part) id() ID { return NewID("part", p.Model, p.ID) }

// partNames returns the parts as they stand in logs.
func partNames(parts []Part) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.ID
	}
	return strings.Join(names, ",")
}
