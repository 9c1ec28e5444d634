package witness

import (
	"context"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

// copies is what a Copier sent where.
type copies struct {
	candidates []Candidate
	silent     map[string]bool
	sent       []string
	fails      bool
}

func (c *copies) send(_ context.Context, to Candidate, _ []*fleetv1.OpenRequest) error {
	if c.fails {
		return errors.New("no answer")
	}
	c.sent = append(c.sent, to.Incarnation)
	return nil
}

func newCopies(candidates ...string) (*Copier, *Store, *copies) {
	c := &copies{silent: map[string]bool{}}
	c.offer(candidates...)
	memory := NewStore()
	return NewCopier(CopierConfig{Clock: clockwork.NewFakeClock(), Store: memory, Send: c.send,
		Candidates: func() []Candidate { return c.candidates },
		Suspect:    func(incarnation string) bool { return c.silent[incarnation] }}), memory, c
}

func (c *copies) offer(names ...string) {
	c.candidates = nil
	for _, name := range names {
		c.candidates = append(c.candidates, Candidate{Incarnation: name})
	}
}

// Guards against the last requests of a dead node being known to one node only.
func TestCopiesRequestsOfSilentNode(t *testing.T) {
	is := is.New(t)
	copier, memory, c := newCopies("w1", "w2")
	is.NoErr(memory.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{openRequest("n.1")}}))
	copier.step(t.Context())
	is.Equal(len(c.sent), 0) // it answers and tells its witnesses itself
	c.silent["n"] = true
	c.fails = true
	copier.step(t.Context())
	c.fails = false
	copier.step(t.Context())
	copier.step(t.Context())
	is.Equal(c.sent, []string{"w1"}) // once, after the failure
	memory.SetEngineUsage("n.1", 5)
	copier.step(t.Context())
	is.Equal(c.sent, []string{"w1", "w1"}) // an engine's count is news
	c.offer("w2")
	copier.step(t.Context())
	is.Equal(c.sent, []string{"w1", "w1", "w2"}) // the first copy is gone
	c.offer("w1", "w2")
	copier.step(t.Context())
	is.Equal(len(c.sent), 3) // the copy stays where it is
}
