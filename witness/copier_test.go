package witness

import (
	"context"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

// fakeReceiver records the nodes that a Copier sent to.
type fakeReceiver struct {
	candidates []Candidate
	silent     map[string]bool
	sent       []string
	fails      bool
}

func (r *fakeReceiver) send(_ context.Context, to Candidate, _ []*fleetv1.OpenRequest) error {
	if r.fails {
		return errors.New("no answer")
	}
	r.sent = append(r.sent, to.Incarnation)
	return nil
}

func newTestCopier(candidates ...string) (*Copier, *Store, *fakeReceiver) {
	receiver := &fakeReceiver{silent: map[string]bool{}}
	receiver.setCandidates(candidates...)
	store := NewStore()
	return NewCopier(CopierConfig{Clock: clockwork.NewFakeClock(), Store: store, Send: receiver.send,
		Candidates: func() []Candidate { return receiver.candidates },
		Suspect:    func(incarnation string) bool { return receiver.silent[incarnation] }}), store, receiver
}

func (r *fakeReceiver) setCandidates(names ...string) {
	r.candidates = nil
	for _, name := range names {
		r.candidates = append(r.candidates, Candidate{Incarnation: name})
	}
}

// Guards against the last requests of a dead node being stored on one node only.
func TestCopiesRequestsOfSilentNode(t *testing.T) {
	is := is.New(t)
	copier, store, receiver := newTestCopier("w1", "w2")
	is.NoErr(store.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{openRequest("n.1")}}))
	copier.step(t.Context())
	is.Equal(len(receiver.sent), 0) // the node answers and updates its witnesses itself
	receiver.silent["n"] = true
	receiver.fails = true
	copier.step(t.Context())
	receiver.fails = false
	copier.step(t.Context())
	copier.step(t.Context())
	is.Equal(receiver.sent, []string{"w1"}) // once, after the failure
	store.SetEngineUsage("n.1", 5)
	copier.step(t.Context())
	is.Equal(receiver.sent, []string{"w1", "w1"}) // an engine's usage is copied
	receiver.setCandidates("w2")
	copier.step(t.Context())
	is.Equal(receiver.sent, []string{"w1", "w1", "w2"}) // the node with the first copy is gone
	receiver.setCandidates("w1", "w2")
	copier.step(t.Context())
	is.Equal(len(receiver.sent), 3) // the copy stays where it is
}
