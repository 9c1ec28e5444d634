package witness

import (
	"context"
	"slices"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// CopierConfig is what a Copier works with.
type CopierConfig struct {
	Clock clockwork.Clock
	Store *Store
	// Candidates lists the nodes that answer, best first.
	Candidates func() []Candidate
	// Suspect tells whether a node doesn't answer.
	Suspect func(incarnation string) bool
	// Send brings remembered requests to another node.
	Send func(ctx context.Context, to Candidate, remembered []*fleetv1.OpenRequest) error
}

// Copier hands what is remembered of a silent node to one more node. A node that lives
// replaces a witness that is gone by itself; once it has died, each death of a witness
// would leave one fewer that knows its last requests, and after the last one they would
// be billed to nobody.
type Copier struct {
	c      CopierConfig
	copies map[string]copied
}

// copied is what was handed on of one incarnation's requests.
type copied struct {
	to Candidate
	// requests counts them, finished those of them that were known to be finished.
	requests, finished int
}

// NewCopier returns a copier; Run must run for it to work.
func NewCopier(config CopierConfig) *Copier {
	return &Copier{c: config, copies: map[string]copied{}}
}

// Run copies until ctx ends.
func (c *Copier) Run(ctx context.Context) {
	periodic.Run(ctx, c.c.Clock, retryInterval, c.step)
}

func (c *Copier) step(ctx context.Context) {
	silent := map[string]bool{}
	for _, incarnation := range c.c.Store.Incarnations() {
		if c.c.Suspect(incarnation) {
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

// copy hands the requests on unless the node that has them still answers and nothing is
// new. A node that can't be reached is tried again at the next step.
func (c *Copier) copy(ctx context.Context, incarnation string) {
	candidates := c.c.Candidates()
	if len(candidates) == 0 {
		return
	}
	last := c.copies[incarnation]
	remembered := c.c.Store.Report(incarnation)
	now := copied{to: candidates[0], requests: len(remembered), finished: countFinished(remembered)}
	if slices.Contains(candidates, last.to) {
		now.to = last.to
	}
	if now == last || c.c.Send(ctx, now.to, remembered) != nil {
		return
	}
	c.copies[incarnation] = now
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
