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

// A caller is refused and asks the operators in the morning why. Nothing was reserved
// for it, so without an id of its own nobody could find its refusal among thousands.
func TestRefusalsAreRecordedUnderUniqueIDs(t *testing.T) {
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{})
	n := s.newServer("a")
	seen := map[string]bool{}
	for _, body := range []string{`{`, `{"model":"none","messages":[{"role":"user","content":"x"}]}`} {
		err := n.Chat(context.Background(), chatCall([]byte(body)), &testSink{})
		id := result.From(err).Request
		is.True(strings.HasPrefix(id, n.Events.Node()+refusalMark))
		is.True(!seen[id])
		seen[id] = true
		found, _ := n.Events.Find(id)
		is.Equal(len(found), 1)
		is.Equal(found[0].Number, event.RequestRefused)
		is.Equal(found[0].Fields["account"], "account")
	}
}

// A request is admitted and fails at its engine. The error must bring the id under which
// it was reserved, as the caller got no answer that names it.
func TestFailedRequestErrorCarriesRequestID(t *testing.T) {
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{CutAfter: 1, Forget: true})
	n := s.newServer("a")
	body, _ := prompt(4)
	err := n.Chat(context.Background(), chatCall(body), &testSink{stream: true})
	is.True(err != nil)
	found, _ := n.Events.Find(result.From(err).Request)
	is.True(len(found) > 1) // its whole story: admitted, sent, failed
	is.Equal(found[0].Number, event.RequestAdmitted)
}
