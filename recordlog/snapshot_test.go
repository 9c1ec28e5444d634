package recordlog_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/snapshot"
)

const (
	stream     = "fleet"
	testBudget = "b"
)

// testReplica is one node's ledger, built from the log.
type testReplica struct {
	ledger   *budget.Ledger
	follower *recordlog.Follower
}

func newTestReplica(log *standin.Log) *testReplica {
	ledger := budget.NewLedger()
	return &testReplica{ledger, recordlog.NewFollower(log, stream, clockwork.NewFakeClock(), fold.NewEngine(ledger))}
}

func (r *testReplica) catchUp(is *is.I) {
	is.Helper()
	for before := ^uint64(0); before != r.follower.Offset(); {
		before = r.follower.Offset()
		is.NoErr(r.follower.Step(context.Background(), 0))
	}
}

func (r *testReplica) prepaid() uint64 { return r.ledger.Budget(testBudget).Prepaid }

// testWriter appends batches of one incarnation directly to the log.
type testWriter struct {
	log  *standin.Log
	name string
	seq  uint64
}

func (a *testWriter) append(is *is.I, entries ...*recordv1.Entry) []byte {
	is.Helper()
	a.seq++
	data, err := proto.Marshal(&recordv1.Batch{Writer: a.name, Seq: a.seq, Entries: entries})
	is.NoErr(err)
	a.appendRaw(is, data)
	return data
}

func (a *testWriter) appendRaw(is *is.I, data []byte) {
	is.Helper()
	_, err := a.log.Append(context.Background(), stream, data)
	is.NoErr(err)
}

func (a *testWriter) topUps(is *is.I, n int) []byte {
	is.Helper()
	var last []byte
	for range n {
		last = a.append(is, &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
			TopUp: &operatorv1.TopUp{Id: fmt.Sprint(a.name, a.seq), Budget: testBudget, Tokens: 1}}}})
	}
	return last
}

// chunks returns a snapshot of the replica's state, split into the given number of entries.
func chunks(is *is.I, r *testReplica, parts int) []*recordv1.Entry {
	is.Helper()
	state, err := r.follower.State()
	is.NoErr(err)
	sealed, err := snapshot.Seal(state)
	is.NoErr(err)
	var entries []*recordv1.Entry
	for i := range parts {
		entries = append(entries, &recordv1.Entry{Body: &recordv1.Entry_Snapshot{Snapshot: &recordv1.SnapshotChunk{
			Offset: state.GetOffset(), Index: uint32(i), Count: uint32(parts),
			Data: sealed[i*len(sealed)/parts : (i+1)*len(sealed)/parts]}}})
	}
	return entries
}

// A node was down for longer than the log keeps its records. Without the snapshot in the
// log it could never catch up, and would serve with outdated budgets.
func TestNodeRestoresAfterRecordsAgedOut(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	writer := &testWriter{log: log, name: "w"}
	away, here := newTestReplica(log), newTestReplica(log)
	writer.topUps(is, 3)
	away.catchUp(is)
	writer.topUps(is, 10)
	late := writer.topUps(is, 1)
	here.catchUp(is)
	for _, entry := range chunks(is, here, 2) {
		writer.append(is, entry)
	}
	writer.topUps(is, 2)
	log.SetRetention(5)
	writer.appendRaw(is, late) // applied before the restored state, and void after it as well
	is.Equal(away.prepaid(), uint64(3))
	away.catchUp(is)
	here.catchUp(is)
	is.Equal(away.prepaid(), uint64(16))
	is.Equal(here.prepaid(), uint64(16))

	fresh := newTestReplica(log)
	fresh.catchUp(is)
	is.Equal(fresh.prepaid(), uint64(16))
}

// A batch is appended twice because the response was lost, once before a snapshot and
// once, late, after it. A node that starts from the snapshot must recognize the second as
// a duplicate, or its shares are granted twice on that node alone.
func TestLateDuplicateAfterSnapshotIsVoid(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	writer, here := &testWriter{log: log, name: "w"}, newTestReplica(log)
	claim := writer.append(is, &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{Number: 1,
		Node: &recordv1.NodeInfo{PeerAddress: "a"}}}})
	writer.topUps(is, 4)
	shares := writer.append(is, &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: testBudget, Tokens: 2}}})
	here.catchUp(is)
	other := &testWriter{log: log, name: "other"}
	other.append(is, chunks(is, here, 1)...)
	other.appendRaw(is, shares)
	other.appendRaw(is, claim)
	log.SetRetention(3)
	fresh := newTestReplica(log)
	here.catchUp(is)
	fresh.catchUp(is)
	is.Equal(here.ledger.Budget(testBudget).Shares["w"].Granted, uint64(2))
	is.Equal(fresh.ledger.Budget(testBudget).Shares["w"].Granted, uint64(2))
}

// The writer of a snapshot is killed between two chunks, two writers interleave, and one
// chunk is corrupt. A node that starts must skip the broken snapshots and restore the
// complete one; restoring a partial state would lose accounts and budgets.
func TestBrokenSnapshotsAreSkipped(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	writer, here := &testWriter{log: log, name: "w"}, newTestReplica(log)
	killed, corrupt := &testWriter{log: log, name: "killed"}, &testWriter{log: log, name: "corrupt"}
	one, two := &testWriter{log: log, name: "one"}, &testWriter{log: log, name: "two"}
	writer.topUps(is, 20)
	here.catchUp(is)
	killed.append(is, chunks(is, here, 3)[0])
	broken := chunks(is, here, 2)
	broken[1].GetSnapshot().Data[3] ^= 1
	corrupt.append(is, broken...)
	writer.topUps(is, 1)
	here.catchUp(is)
	first, second := chunks(is, here, 3), chunks(is, here, 3)
	for i := range first {
		one.append(is, first[i])
		two.append(is, second[i])
	}
	late := killed.append(is, first[2]) // of another snapshot: it must not complete any
	killed.appendRaw(is, late)
	log.SetRetention(10)

	fresh := newTestReplica(log)
	fresh.catchUp(is)
	is.Equal(fresh.prepaid(), uint64(21))
	is.Equal(fresh.follower.Offset(), here.follower.Offset()+8)
}

// The only snapshot left ends before the oldest record kept: the records between them are
// gone. A node that restored it would miss accepted changes forever, so it waits.
func TestSnapshotWithGapIsRefused(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	writer, here := &testWriter{log: log, name: "w"}, newTestReplica(log)
	writer.topUps(is, 5)
	here.catchUp(is)
	old := chunks(is, here, 1)
	writer.topUps(is, 5)
	log.SetRetention(1)
	writer.append(is, old...)
	fresh := newTestReplica(log)
	err := fresh.follower.Step(context.Background(), 0)
	is.True(err != nil)
	is.Equal(fresh.follower.Offset(), uint64(0))
	is.Equal(fresh.prepaid(), uint64(0))
}
