package edgenode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Guards against ordering upstreams' entries without the log's order.
func TestUpstreamEntriesKeepTheirOffset(t *testing.T) {
	is := is.New(t)
	n, _ := newRampNode(1)
	n.deps.DecodeUpstream = func(id string, _ []byte) (directory.Entry, error) { return directory.Entry{ID: id}, nil }
	e, ok := (&upstreamHandler{node: n}).decode(keyedlog.Record{Key: "u", Offset: 7})
	is.True(ok)
	is.Equal(e, directory.Entry{ID: "u", Offset: 7})
}

// Guards against a removal that is read without its place in the log, and against late entries of which no line tells.
func TestLateEntryBehindRemovalIsLogged(t *testing.T) {
	is := is.New(t)
	n, clock := newRampNode(1)
	n.directory.OnDropped = n.logDropped
	n.origins = n.newOrigins()
	sequence := int64(0)
	n.deps.DecodeUpstream = func(id string, _ []byte) (directory.Entry, error) {
		return directory.Entry{ID: id, Service: "s", State: directory.Ready, StartedAt: 1000, Sequence: sequence}, nil
	}
	h := &upstreamHandler{node: n}
	read := func(r keyedlog.Record, s int64) {
		clock.Advance(time.Second)
		sequence = s
		h.Apply([]keyedlog.Record{r})
	}
	read(keyedlog.Record{Key: "u", Offset: 7}, 3)
	read(keyedlog.Record{Key: "u", Offset: 8, Deleted: true}, 0)
	read(keyedlog.Record{Key: "u", Offset: 7}, 3) // an older reading
	read(keyedlog.Record{Key: "u", Offset: 9}, 2)
	is.Equal(len(n.directory.Current().Upstreams("s")), 0)
	events, _ := n.deps.Events.Find("u")
	last := events[len(events)-1]
	is.Equal(last.Number, event.EntryDropped)
	is.Equal(last.Fields["reason"], "earlier sequence")
	is.Equal(last.Fields["present_sequence"], "3")
	is.Equal(last.Fields["departed"], "true")
}
