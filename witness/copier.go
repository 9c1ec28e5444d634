package witness

import (
	"context"
	"slices"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// CopierConfig configures a Copier.
type CopierConfig struct {
	Clock clockwork.Clock
	Store *Store
	// Candidates returns the nodes that answer, best first.
	Candidates func() []Candidate
	// Suspect reports whether a node doesn't answer.
	Suspect func(incarnation string) bool
	// Send sends stored requests to another node.
	Send func(ctx context.Context, to Candidate, requests []*fleetv1.OpenRequest) error
}

// Copier copies the stored requests of a silent node to one more node. A live node replaces
// a failed witness itself; once the node has died, each failure of a witness would leave one
// copy fewer of its last requests, and after the last one they would not be billed to
// anybody.
type Copier struct {
	config CopierConfig
	copies map[string]copyState
}

// copyState describes the last copy made of an incarnation's requests.
type copyState struct {
	to Candidate
	// total is the number of requests copied, finished that of the finished ones among them.
	total, finished int
}

// NewCopier returns a Copier; Run does the copying.
func NewCopier(config CopierConfig) *Copier {
	return &Copier{config: config, copies: map[string]copyState{}}
}

// Run copies requests of silent nodes until ctx is done.
func (c *Copier) Run(ctx context.Context) {
	periodic.Run(ctx, c.config.Clock, retryInterval, c.step)
}

func (c *Copier) step(ctx context.Context) {
	silent := map[string]bool{}
	for _, incarnation := range c.config.Store.Incarnations() {
		if c.config.Suspect(incarnation) {
			silent[incarnation] = true
			c.copy(ctx, incarnation)
		}
	}
	for incarnation := range c.copies {
		if !silent[incarnation] {
			delete(c.copies, incarnation)
		}
	}
}

// copy sends an incarnation's requests to a candidate unless the node that has the last copy
// still answers and nothing changed. A failed send is retried at the next step.
func (c *Copier) copy(ctx context.Context, incarnation string) {
	candidates := c.config.Candidates()
	if len(candidates) == 0 {
		return
	}
	last := c.copies[incarnation]
	requests := c.config.Store.Report(incarnation)
	next := copyState{to: candidates[0], total: len(requests), finished: countFinished(requests)}
	if slices.Contains(candidates, last.to) {
		next.to = last.to
	}
	if next == last || c.config.Send(ctx, next.to, requests) != nil {
		return
	}
	c.copies[incarnation] = next
}

func countFinished(requests []*fleetv1.OpenRequest) int {
	n := 0
	for _, r := range requests {
		if r.GetFinished() {
			n++
		}
	}
	return n
}
