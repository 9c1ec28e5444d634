package request

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

// A caller asks operators later why it was refused. Nothing was reserved for it, so without
// an id of its own, its refusal couldn't be found among thousands.
func TestRefusalsAreRecordedUnderUniqueIDs(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	n := s.newServer("a")
	seen := map[string]bool{}
	for _, body := range []string{`{`, `{"model":"none","messages":[{"role":"user","content":"x"}]}`} {
		err := n.Chat(context.Background(), chatCall([]byte(body)), &testSink{})
		id := result.From(err).Request
		is.True(strings.HasPrefix(id, n.Events.Node()+refusalIDSeparator))
		is.True(!seen[id])
		seen[id] = true
		found, _ := n.Events.Find(id)
		is.Equal(len(found), 1)
		is.Equal(found[0].Number, event.RequestRefused)
		is.Equal(found[0].Fields["account"], "account")
	}
}

// An admitted request fails at its engine. The error must carry the id under which the
// request was reserved, since the caller got no answer that names it.
func TestFailedRequestErrorCarriesRequestID(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 1, Forget: true})
	n := s.newServer("a")
	body, _ := prompt(4)
	err := n.Chat(context.Background(), chatCall(body), &testSink{stream: true})
	is.True(err != nil)
	found, _ := n.Events.Find(result.From(err).Request)
	is.True(len(found) > 1) // all its events: admitted, dispatched, failed
	is.Equal(found[0].Number, event.RequestAdmitted)
}
