package event

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const nodeA = `  30.1 edge-a level=info ts=2026-05-20T03:01:50.06Z event=402 name=RequestRefused node=a request=r1 code=2010 reason="this node's part is short"
noise that is no event
level=info ts=2026-05-20T03:01:45.00Z event=404 name=RequestFinished node=a request=r1 outcome=served
level=info ts=2026-05-20T03:01:46.00Z event=404 name=RequestFinished node=a request=r2 outcome=cut
level=info ts=2026-05-20T03:01:46.00Z event=40`

const nodeB = `level=info ts=2026-05-20T03:01:44.00Z event=310 name=PartBorrowed node=b request=r1 lender=a tokens=5`

// A user complains about one request. Two nodes' logs are at hand, one with a clock that
// jumped back by five seconds, with noise and a line that was cut. The lines of the
// request must come out whole, and each node's in the order in which it wrote them.
func TestTraceAcrossLogs(t *testing.T) {
	is := is.New(t)
	a, skipped, err := ReadLog(strings.NewReader(nodeA))
	is.NoErr(err)
	is.Equal(skipped, 2)
	b, _, err := ReadLog(strings.NewReader(nodeB))
	is.NoErr(err)
	story := Trace(append(a, b...), "r1")
	is.Equal(len(story), 3)
	is.Equal(story[0].Node, "b")
	is.Equal(story[1].Number, RequestRefused)
	is.Equal(story[2].Number, RequestFinished)
	is.Equal(story[1].Fields["reason"], "this node's part is short")
}

// An event whose sentence asks for a field that it lacks is told by its meaning.
func TestDescribeWithoutFields(t *testing.T) {
	is := is.New(t)
	e := Event{Number: RequestRefused, Fields: map[string]string{"request": "r1", "code": "2010"}}
	is.True(!strings.Contains(e.Describe(), "{"))
	is.True(strings.Contains(e.Describe(), "code 2010"))
}

// FuzzReadLog checks that no log ends the tool.
func FuzzReadLog(f *testing.F) {
	f.Add(nodeA)
	f.Fuzz(func(t *testing.T, raw string) {
		if _, _, err := ReadLog(strings.NewReader(raw)); err != nil {
			t.Fatal(err)
		}
	})
}
