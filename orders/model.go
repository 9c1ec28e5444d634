package orders

import (
	"slices"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Model is a model as held by an engine.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

func (m Model) equal(other Model) bool {
	return m.Name == other.Name && m.Version == other.Version && slices.Equal(m.Adapters, other.Adapters)
}

// Goal is a model that operators want in each region.
type Goal struct {
	Model
	CopiesPerRegion int
	// Role in which the copies should serve; empty for any.
	Role string
}

// acceptsRole reports whether an engine in a role counts as a copy.
func (g Goal) acceptsRole(role string) bool { return g.Role == "" || g.Role == role }

// Goals returns the goals that a service declares.
func Goals(service *operatorv1.Service) []Goal {
	goals := make([]Goal, 0, len(service.GetDesired()))
	for _, d := range service.GetDesired() {
		goals = append(goals, Goal{
			Model:           Model{Name: d.GetModel(), Version: d.GetVersion(), Adapters: d.GetAdapters()},
			CopiesPerRegion: max(1, int(d.GetCopiesPerRegion())),
			Role:            d.GetRole(),
		})
	}
	return goals
}
