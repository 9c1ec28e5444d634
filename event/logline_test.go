package event

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logOfNodeA = `  30.1 edge-a level=info ts=2026-05-20T03:01:50.06Z event=402 name=RequestRefused node=a request=r1 code=2010 reason="this node's part is short"
noise that is no event
level=info ts=2026-05-20T03:01:45.00Z event=404 name=RequestFinished node=a request=r1 outcome=served
level=info ts=2026-05-20T03:01:46.00Z event=404 name=RequestFinished node=a request=r2 outcome=cut
level=info ts=2026-05-20T03:01:46.00Z event=40`

const logOfNodeB = `level=info ts=2026-05-20T03:01:44.00Z event=310 name=PartBorrowed node=b request=r1 lender=a tokens=5`

// The logs of two nodes are searched for one request. One log has a clock that jumped
// back by five seconds, a line that is no event and a truncated line. All lines of the
// request must be returned, those of each node in the order in which it wrote them.
func TestTraceAcrossLogs(t *testing.T) {
	is := is.New(t)
	a, skipped, err := ReadLog(strings.NewReader(logOfNodeA))
	is.NoErr(err)
	is.Equal(skipped, 2)
	b, _, err := ReadLog(strings.NewReader(logOfNodeB))
	is.NoErr(err)
	matched := Trace(append(a, b...), "r1")
	is.Equal(len(matched), 3)
	is.Equal(matched[0].Node, "b")
	is.Equal(matched[1].Number, RequestRefused)
	is.Equal(matched[2].Number, RequestFinished)
	is.Equal(matched[1].Fields["reason"], "this node's part is short")
}

// An event without a field that its description needs is described by its meaning.
func TestDescribeWithoutFields(t *testing.T) {
	is := is.New(t)
	e := Event{Number: RequestRefused, Fields: map[string]string{"request": "r1", "code": "2010"}}
	is.True(!strings.Contains(e.Describe(), "{"))
	is.True(strings.Contains(e.Describe(), "code 2010"))
}

// FuzzReadLog checks that no input makes ReadLog fail or panic.
func FuzzReadLog(f *testing.F) {
	f.Add(logOfNodeA)
	f.Fuzz(func(t *testing.T, raw string) {
		if _, _, err := ReadLog(strings.NewReader(raw)); err != nil {
			t.Fatal(err)
		}
	})
}
