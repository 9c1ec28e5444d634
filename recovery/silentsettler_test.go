package recovery

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/witness"
)

// fakeLog records submitted entries and never returns a verdict.
type fakeLog struct{ entries []*recordv1.Entry }

func (l *fakeLog) Submit(entry *recordv1.Entry) *recordlog.Ticket {
	l.entries = append(l.entries, entry)
	return &recordlog.Ticket{}
}

// Guards against settling for a node that answers, and in a fleet whose nodes don't all fold
// such settlements the same way.
func TestSettlesOnlyForSilentNodes(t *testing.T) {
	is := is.New(t)
	w := newTestWatcher()
	w.heartbeat(1)
	store, written := witness.NewStore(), &fakeLog{}
	silent, mayWrite := false, false
	s := NewSilentSettler(SilentSettlerConfig{Clock: w.clock, Ledger: w.ledger, Log: written, Store: store,
		Events:  event.NewRecorder(event.NewHLC(clockwork.NewFakeClock()), "self", 10, log.NewNopLogger()),
		Suspect: func(string) bool { return silent }, MayWrite: func() bool { return mayWrite }})
	is.NoErr(store.Update("n", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{
		{Request: "n.1", Budget: "b", Reserved: 10, Finished: true, Used: 7}, {Request: "n.2", Budget: "b", Reserved: 10},
	}}))
	s.step()
	silent = true
	s.step()
	is.Equal(len(written.entries), 0)
	mayWrite = true
	s.step()
	is.Equal(len(written.entries), 1)
	settled := written.entries[0].GetSettlements()
	is.Equal(settled.GetIncarnation(), "n")
	is.Equal(len(settled.GetSettlements()), 1) // n.2 is open
	is.Equal(settled.GetSettlements()[0].GetTokens(), uint64(7))
	s.step()
	is.Equal(len(written.entries), 1) // the first has no verdict yet
}
