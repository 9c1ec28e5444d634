package fold_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

func newEngine() *fold.Engine { return fold.NewEngine(config.NewState(nil), budget.NewLedger()) }

func stateOf(t interface{ Fatal(...any) }, e *fold.Engine) []byte {
	state, err := e.State()
	if err != nil {
		t.Fatal(err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func drawEntry(t *rapid.T, writer string) *recordv1.Entry {
	budget := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "budget")
	tokens := rapid.Uint64Range(1, 100).Draw(t, "tokens")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{
			Number: rapid.Uint64Range(1, 3).Draw(t, "number"), Node: &recordv1.NodeInfo{Incarnation: writer, PeerAddress: writer}}}}
	case 1:
		return &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
			TopUp: &operatorv1.TopUp{Id: fmt.Sprint("t", tokens), Budget: budget, Tokens: tokens}}}}
	case 2:
		return &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: budget, Tokens: tokens}}}
	case 3:
		return &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: &recordv1.SettlementBatch{Incarnation: writer,
			Settlements: []*recordv1.Settlement{{Request: fmt.Sprintf("%s.%d", writer, tokens), Budget: budget, Tokens: tokens}}}}}
	}
	return &recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: fmt.Sprint("c", tokens),
		Changes: []*operatorv1.Change{{AnyVersion: true, Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{
			Account: &operatorv1.Account{Name: budget, Team: fmt.Sprint(tokens)}}}}}}}}
}

// A node restores a snapshot and goes on from there, while appends whose answers were
// lost come a second time, some of them late. Were its state other than that of a node
// that folded every record, the same top-up would count on one and not on the other.
func TestRestoredStateGoesOnAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, restored := newEngine(), newEngine()
		seqs := map[string]uint64{}
		var sent []*recordv1.Batch
		steps := rapid.IntRange(2, 40).Draw(t, "steps")
		cut := rapid.IntRange(1, steps-1).Draw(t, "cut")
		for step := range steps {
			batch := nextBatch(t, seqs, sent)
			sent = append(sent, batch)
			verdicts := whole.Apply(uint64(step+1), batch)
			if step < cut {
				continue
			}
			if step == cut {
				state, err := whole.State()
				if err != nil || restored.Restore(state) != nil {
					t.Fatal("no state", err)
				}
				continue
			}
			if again := restored.Apply(uint64(step+1), batch); fmt.Sprint(again) != fmt.Sprint(verdicts) {
				t.Fatalf("verdicts differ: %v and %v", verdicts, again)
			}
		}
		if string(stateOf(t, whole)) != string(stateOf(t, restored)) {
			t.Fatal("states differ")
		}
	})
}

// nextBatch draws a new batch, or one that was sent before.
func nextBatch(t *rapid.T, seqs map[string]uint64, sent []*recordv1.Batch) *recordv1.Batch {
	if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "duplicate")
	}
	writer := rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "writer")
	seqs[writer]++
	batch := &recordv1.Batch{Writer: writer, Seq: seqs[writer]}
	for range rapid.IntRange(1, 3).Draw(t, "entries") {
		batch.Entries = append(batch.Entries, drawEntry(t, writer))
	}
	return batch
}

// A node is handed a state older than its own, by a peer that lags. Were it taken,
// an accepted change would revert on this node.
func TestRestoreRefusesOlderState(t *testing.T) {
	is := is.New(t)
	engine := newEngine()
	old, err := engine.State()
	is.NoErr(err)
	engine.Apply(1, &recordv1.Batch{Writer: "w", Seq: 1})
	is.True(engine.Restore(old) != nil)
	is.Equal(engine.Offset(), uint64(1))
}

// Thousands of incarnations come and go, and the log then delivers once more, very
// late, a batch of one that nobody remembers. Were it taken as new, a budget would be
// topped up twice.
func TestPrunedWriterStaysRejected(t *testing.T) {
	is := is.New(t)
	engine := newEngine()
	topUp := &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: "b"}}}
	late := &recordv1.Batch{Writer: "early", Seq: 2, Entries: []*recordv1.Entry{topUp}}
	engine.Apply(1, &recordv1.Batch{Writer: "early", Seq: 1})
	engine.Apply(2, late)
	offset := uint64(2)
	for i := range 20_000 {
		offset++
		engine.Apply(offset, &recordv1.Batch{Writer: fmt.Sprint("w", i), Seq: 1})
	}
	state, err := engine.State()
	is.NoErr(err)
	is.True(len(state.GetWriters()) <= 16_384) // bounded
	is.Equal(engine.LastSeq("early"), uint64(0))
	is.Equal(engine.Apply(offset+1, late)[0].Code, result.StaleEntry)
}

// FuzzFold folds arbitrary bytes as log records. A fold that panics, or that differs
// between two nodes, would stop or split the whole fleet at one record.
func FuzzFold(f *testing.F) {
	for _, batch := range seedBatches() {
		data, err := proto.Marshal(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Add([]byte{0xff, 0x01}, []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		one, two := newEngine(), newEngine()
		for i, data := range [][]byte{first, second, first} {
			batch := &recordv1.Batch{}
			if proto.Unmarshal(data, batch) != nil {
				batch = &recordv1.Batch{}
			}
			offset := uint64(i + 1)
			if fmt.Sprint(one.Apply(offset, batch)) != fmt.Sprint(two.Apply(offset, batch)) {
				t.Fatal("verdicts differ")
			}
		}
		if string(stateOf(t, one)) != string(stateOf(t, two)) {
			t.Fatal("states differ")
		}
		state, _ := one.State()
		three := newEngine()
		if err := three.Restore(state); err != nil {
			t.Fatal(err)
		}
		if string(stateOf(t, three)) != string(stateOf(t, one)) {
			t.Fatal("the restored state differs")
		}
	})
}

func seedBatches() []*recordv1.Batch {
	node := &recordv1.NodeInfo{Incarnation: "w", PeerAddress: "127.0.0.1:1"}
	entries := []*recordv1.Entry{
		{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{Number: 1, Node: node}}},
		{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{TopUp: &operatorv1.TopUp{Id: "t", Budget: "b", Tokens: 9}}}},
		{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: "b", Tokens: 5}}},
		{Body: &recordv1.Entry_ShareMove{ShareMove: &recordv1.ShareMove{Budget: "b", To: "w", Tokens: 1}}},
		{Body: &recordv1.Entry_Settlements{Settlements: &recordv1.SettlementBatch{Incarnation: "w",
			Settlements: []*recordv1.Settlement{{Request: "w.1", Budget: "b", Tokens: 2}}}}},
		{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{Incarnation: "w"}}},
		{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{Incarnation: "w"}}},
		{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{ChangeId: "c", Changes: []*operatorv1.Change{{Resource: &operatorv1.Resource{
			Kind: &operatorv1.Resource_Drain{Drain: &operatorv1.Drain{Name: "127.0.0.1:1"}}}}}}}},
		{Body: &recordv1.Entry_Snapshot{Snapshot: &recordv1.SnapshotChunk{Offset: 1, Count: 1}}},
	}
	batches := []*recordv1.Batch{{Writer: "w", Seq: 1, Entries: entries}}
	for i, entry := range entries {
		batches = append(batches, &recordv1.Batch{Writer: "w", Seq: uint64(i + 1), Entries: []*recordv1.Entry{entry}})
	}
	return batches
}
