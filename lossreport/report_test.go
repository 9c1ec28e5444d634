package lossreport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
)

const logLines = `level=info ts=2026-01-02T03:04:00.1Z event=417 name=RequestEnded node=n1 request=a outcome=served
level=info ts=2026-01-02T03:04:00.2Z event=402 name=RequestRefused node=n1 request=b code=2002
level=info ts=2026-01-02T03:04:02.1Z event=402 name=RequestRefused node=n2 request=c code=2010 tokens=10 spent=50 held=40 ceiling=90
level=info ts=2026-01-02T03:04:02.2Z event=402 name=RequestRefused node=n2 request=d code=2010 tokens=10 spent=50 held=40 ceiling=100
level=info ts=2026-01-02T03:04:02.3Z event=402 name=RequestRefused node=n2 request=e code=2010 tokens=10 spent=50 held=40 ceiling=100
level=info ts=2026-01-02T03:04:02.4Z event=417 name=RequestEnded node=n2 request=f outcome=refused
level=info ts=2026-01-02T03:04:02.5Z event=417 name=RequestEnded node=n2 request=g outcome=cut
torn line`

func readLog(t *testing.T) []event.LogLine {
	t.Helper()
	read, _, err := event.ReadLog(strings.NewReader(logLines))
	if err != nil {
		t.Fatal(err)
	}
	return read
}

// Accounts ran short of tokens. Operators must see which of three shortages it was, since each
// has a different remedy: a top-up, other allocations, or the store.
func TestDistinguishesTokenShortages(t *testing.T) {
	is := is.New(t)
	r := New(readLog(t), 2*time.Second)
	is.Equal(len(r.Intervals), 2)
	is.Equal(r.Intervals[0].Requests, map[Cause]int{Served: 1, accountExhausted: 1})
	is.Equal(r.Intervals[1].Requests, map[Cause]int{allocationExhausted: 1, limitBelowAllocation: 2, "cut midway": 1})
	is.Equal(r.Causes()[0], limitBelowAllocation)
	worst := r.Worst(1)
	is.Equal(worst[0].ServedFraction(), 0.0)
	is.Equal(worst[0].Lost(), 4)
}

func TestWritesTableAndPlot(t *testing.T) {
	is := is.New(t)
	r := New(readLog(t), 2*time.Second)
	var table strings.Builder
	is.NoErr(r.WriteTable(&table))
	is.True(strings.Contains(table.String(), "03:04:02"))
	path := filepath.Join(t.TempDir(), "lost.svg")
	is.NoErr(r.Plot(path))
	svg, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(svg), "<svg"))
}

// Guards against a report that blames callers for leaving a node that had not read their requests in time.
func TestNamesRequestsReadLate(t *testing.T) {
	is := is.New(t)
	read, _, err := event.ReadLog(strings.NewReader(`level=info ts=2026-01-02T03:04:00.1Z event=417 name=RequestEnded node=n1 request=a outcome=caller_left ms=1000 unread_ms=900
level=info ts=2026-01-02T03:04:00.2Z event=417 name=RequestEnded node=n1 request=b outcome=caller_left ms=1000 unread_ms=500
level=info ts=2026-01-02T03:04:00.3Z event=417 name=RequestEnded node=n1 request=c outcome=served ms=1000 unread_ms=900
level=info ts=2026-01-02T03:04:00.4Z event=402 name=RequestRefused node=n1 request=d code=4016 unread_ms=900
`))
	is.NoErr(err)
	is.Equal(New(read, 2*time.Second).Intervals[0].Requests, map[Cause]int{callerLeftUnread: 1, "caller left": 1, Served: 1, "ReadLate": 1})
}

// Guards against a report that blames callers for leaving a node behind a full link.
func TestNamesCallersWhoLeftBehindAFullLink(t *testing.T) {
	is := is.New(t)
	read, _, err := event.ReadLog(strings.NewReader(`level=info ts=2026-01-02T03:04:00.1Z event=417 name=RequestEnded node=n1 request=a outcome=caller_left ms=1000 unread_ms=0 link_ms=900
level=info ts=2026-01-02T03:04:00.2Z event=417 name=RequestEnded node=n1 request=b outcome=caller_left ms=1000 unread_ms=0 link_ms=100
level=info ts=2026-01-02T03:04:00.3Z event=417 name=RequestEnded node=n1 request=c outcome=served ms=1000 unread_ms=0 link_ms=900
`))
	is.NoErr(err)
	is.Equal(New(read, 2*time.Second).Intervals[0].Requests, map[Cause]int{callerLeftBehindLink: 1, "caller left": 1, Served: 1})
}

// If no line ends a request, the report is a table with only a header.
func TestEmptyLogGivesEmptyReport(t *testing.T) {
	is := is.New(t)
	r := New(nil, time.Second)
	var table strings.Builder
	is.NoErr(r.WriteTable(&table))
	is.Equal(len(r.Worst(3)), 0)
}
