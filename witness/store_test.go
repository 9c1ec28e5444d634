package witness

import (
	"testing"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

func openRequest(id string) *fleetv1.OpenRequest { return &fleetv1.OpenRequest{Request: id} }

// A message that a request is open arrives after the one that it has finished. The request
// must stay finished, or an engine that has already forgotten it would be queried.
func TestFinishedStaysFinished(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	is.NoErr(store.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{{Request: "n.1", Finished: true, Used: 7}}}))
	is.NoErr(store.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{openRequest("n.1")}}))
	is.Equal(store.Report("n")[0].GetUsed(), uint64(7))
}

// Settled, cancelled and released requests must be removed from the store. Otherwise a
// witness that runs for months fills up and refuses updates, as do all others.
func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	is.NoErr(store.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{
		openRequest("n.1"), openRequest("n.2"), openRequest("n.3"), openRequest("n.4"), openRequest("o.1"),
	}}))
	settled := &recordv1.SettlementBatch{Incarnation: "n", OldestOpen: 3, Settlements: []*recordv1.Settlement{{Request: "n.3"}}}
	store.HandleFolded(&recordv1.Batch{Writer: "n", Entries: []*recordv1.Entry{
		{Body: &recordv1.Entry_Settlements{Settlements: settled}},
	}}, []fold.Verdict{{}})
	is.Equal(store.Len(), 2) // n.4 and o.1
	is.NoErr(store.Update("", &fleetv1.Witness{Forget: []string{"n.4"}}))
	store.HandleFolded(&recordv1.Batch{Writer: "n", Entries: []*recordv1.Entry{
		{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{Incarnation: "o"}}},
	}}, []fold.Verdict{{}})
	is.Equal(store.Len(), 0)
}

// Guards against a witness that bills, on behalf of a live node, an engine's usage or what
// another witness passed on: the answer may have failed at the node.
func TestOnlyOwnReportCountsAsFinished(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	finished := func(id string, used uint64) *fleetv1.Witness {
		return &fleetv1.Witness{Open: []*fleetv1.OpenRequest{{Request: id, Finished: true, Used: used}}}
	}
	is.NoErr(store.Update("n", finished("n.1", 7)))
	is.NoErr(store.Update("other", finished("n.2", 7)))
	is.NoErr(store.Update("n", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{openRequest("n.3")}}))
	store.SetEngineUsage("n.3", 9)
	is.Equal(len(store.Report("n")), 3)
	is.Equal(len(store.Finished("n")), 1)
	is.NoErr(store.Update("n", finished("n.3", 4))) // the node's report replaces the engine's usage
	is.Equal(len(store.Finished("n")), 2)
	for _, r := range store.Report("n") {
		is.True(r.GetUsed() != 9)
	}
}
