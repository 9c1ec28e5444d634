package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/gather"
)

// Six nodes hand their batches to the gatherers of their data centres, and one of these
// crashes under load. What it held for others must be billed all the same, once, and
// nobody may be refused for more than the moment in which the others notice.
func TestGathererCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		policy := gather.DefaultPolicy()
		policy.MinFleetNodes, policy.MinDataCentreNodes = 0, 2
		f := startGathering(t, policy, testPolicy, near, near, near, near, near, near)
		f.topUp(400_000)
		f.drawFor(5*time.Minute, 0, 1, 2, 3, 4, 5)
		chosen := gather.ChooseGatherer(f.nodes[0].info, f.nodes[0].members.All(), policy).GetIncarnation()
		var others []int
		gatherer := -1
		for i, n := range f.nodes {
			is.True(n.appender.Forwarded() > 0)
			if n.Incarnation() == chosen {
				gatherer = i
			} else {
				others = append(others, i)
			}
		}
		is.True(f.nodes[gatherer].gatherer.Appends() > 0)
		f.crash(gatherer)
		refused := f.drawFor(5*time.Minute, others...)
		is.Equal(len(refused), 0)
		f.nodes[gatherer] = f.start(gatherer, near)
		f.drawFor(5*time.Minute, others...)
		f.awaitBilled(others[0])
		is.Equal(f.checkLedger(others[0]).Lost, uint64(0))
	})
}

// One node of an earlier version is left in the log. Records that it can't read must not
// be written until it has gone, or it would fold other budgets than all others.
func TestOldNodePreventsGatheredRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near)
		time.Sleep(time.Minute)
		is.True(f.nodes[0].allRead())
		f.net.silence("127.0.0.1:6999")
		data, err := proto.Marshal(&recordv1.Batch{Writer: "old", Seq: 1, Entries: []*recordv1.Entry{{Body: &recordv1.Entry_Heartbeat{
			Heartbeat: &recordv1.NodeHeartbeat{Node: &recordv1.NodeInfo{Incarnation: "old", PeerAddress: "127.0.0.1:6999"}, Number: 1, RightMs: 1000}}}}})
		is.NoErr(err)
		_, err = f.log.Append(t.Context(), "fleet", data)
		is.NoErr(err)
		time.Sleep(2 * formsKept)
		is.True(!f.nodes[0].allRead())
		f.await(f.nodes[0].allRead) // once it is closed
	})
}
