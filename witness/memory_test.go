package witness

import (
	"testing"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

func openRequest(id string) *fleetv1.OpenRequest { return &fleetv1.OpenRequest{Request: id} }

// A message that a request is open arrives after the one that it has finished. The
// request must stay finished, or an engine that has forgotten it would be asked.
func TestFinishedStaysFinished(t *testing.T) {
	is := is.New(t)
	m := NewStore()
	is.NoErr(m.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{{Request: "n.1", Finished: true, Used: 7}}}))
	is.NoErr(m.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{openRequest("n.1")}}))
	is.Equal(m.Report("n")[0].GetUsed(), uint64(7))
}

// A witness serves for months. What is settled, cancelled or released must leave its
// memory, or it would refuse one day, and every node with it.
func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	m := NewStore()
	is.NoErr(m.Update("", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{
		openRequest("n.1"), openRequest("n.2"), openRequest("n.3"), openRequest("n.4"), openRequest("o.1"),
	}}))
	settled := &recordv1.SettlementBatch{Incarnation: "n", OldestOpen: 3, Settlements: []*recordv1.Settlement{{Request: "n.3"}}}
	m.Folded(&recordv1.Batch{Writer: "n", Entries: []*recordv1.Entry{
		{Body: &recordv1.Entry_Settlements{Settlements: settled}},
	}}, []fold.Verdict{{}})
	is.Equal(m.Len(), 2) // n.4 and o.1
	is.NoErr(m.Update("", &fleetv1.Witness{Forget: []string{"n.4"}}))
	m.Folded(&recordv1.Batch{Writer: "n", Entries: []*recordv1.Entry{
		{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{Incarnation: "o"}}},
	}}, []fold.Verdict{{}})
	is.Equal(m.Len(), 0)
}

// Guards against a witness that bills an engine's count, or what another witness passed
// on, in a living node's name: the answer may have failed there.
func TestOnlyOwnReportCountsAsFinished(t *testing.T) {
	is := is.New(t)
	m := NewStore()
	finished := func(id string, used uint64) *fleetv1.Witness {
		return &fleetv1.Witness{Open: []*fleetv1.OpenRequest{{Request: id, Finished: true, Used: used}}}
	}
	is.NoErr(m.Update("n", finished("n.1", 7)))
	is.NoErr(m.Update("other", finished("n.2", 7)))
	is.NoErr(m.Update("n", &fleetv1.Witness{Open: []*fleetv1.OpenRequest{openRequest("n.3")}}))
	m.SetEngineUsage("n.3", 9)
	is.Equal(len(m.Report("n")), 3)
	is.Equal(len(m.Finished("n")), 1)
	is.NoErr(m.Update("n", finished("n.3", 4))) // the node's word replaces the count
	is.Equal(len(m.Finished("n")), 2)
	for _, r := range m.Report("n") {
		is.True(r.GetUsed() != 9)
	}
}
