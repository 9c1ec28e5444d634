package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/snapshot"
)

const settlementsABatch = 50

// ledgerSlopes measures what folding money costs every node.
func ledgerSlopes(n Samples) []Slope {
	f := newFolder()
	f.fold(encoded(batchOf(0, 1, heartbeat(0, 1))))
	line := grown(n.Budgets, func() any {
		for i := range n.Budgets {
			f.fold(encoded(batchOf(1, uint64(i+1), topUp(i))))
		}
		return f
	})
	share := grown(n.Shares, func() any {
		for i := range n.Shares {
			f.fold(encoded(batchOf(0, uint64(i+2), claim(i))))
		}
		return f
	})
	seq := uint64(n.Shares + 2)
	batches := make([][]byte, 0, n.Settlements/settlementsABatch)
	size := 0
	next := 1
	for range n.Settlements / settlementsABatch {
		batches = append(batches, nil)
	}
	settle := each(n.Settlements, func() {
		for i := range batches {
			batches[i] = encoded(batchOf(0, seq, settlements(0, next, settlementsABatch)))
			seq, next = seq+1, next+settlementsABatch
		}
	})
	size = len(batches[0])
	encodeOnly := settle
	began := time.Now()
	for _, data := range batches {
		f.fold(data)
	}
	foldEach := float64(time.Since(began).Nanoseconds()) / float64(n.Settlements)
	beat := encoded(batchOf(1, 1, heartbeat(1, 1)))
	return []Slope{
		{"ledger memory per budget", line, "B", "50,000 top-ups folded, one budget each; includes the top-up's id"},
		{"ledger memory per share", share, "B", "20,000 claims of one incarnation folded"},
		{"log bytes per settlement", float64(size) / settlementsABatch, "B", "one batch of 50 settlements, UUID incarnation, 22-letter budget"},
		{"encode per settlement", encodeOnly, "ns", "building and marshalling batches of 50"},
		{"fold per settlement", foldEach, "ns", "unmarshal and apply, batches of 50"},
		{"log bytes per heartbeat", float64(len(beat)), "B", "a batch with one heartbeat"},
		{"ledger memory per incarnation", incarnationMemory(n), "B", "400 first heartbeats folded"},
		{"ledger memory per open settlement", openSettlementMemory(n), "B", "settlements above the oldest open counter"},
		{"fold per heartbeat", foldHeartbeat(n), "ns", "unmarshal and apply"},
	}
}

func incarnationMemory(n Samples) float64 {
	f := newFolder()
	return grown(n.Incarnations, func() any {
		for i := range n.Incarnations {
			f.fold(encoded(batchOf(i, 1, heartbeat(i, 1))))
		}
		return f
	})
}

func openSettlementMemory(n Samples) float64 {
	f := newFolder()
	f.fold(encoded(batchOf(0, 1, heartbeat(0, 1))))
	f.fold(encoded(batchOf(1, 1, topUp(0))))
	f.fold(encoded(batchOf(0, 2, claim(0))))
	return grown(n.Settlements, func() any {
		for i := range n.Settlements / settlementsABatch {
			entry := settlements(0, 2+i*settlementsABatch, settlementsABatch)
			entry.GetSettlements().OldestOpen = 1
			f.fold(encoded(batchOf(0, uint64(i+3), entry)))
		}
		return f
	})
}

func foldHeartbeat(n Samples) float64 {
	f := newFolder()
	round := 0
	batches := make([][]byte, 0, n.Incarnations*rounds)
	for beat := range rounds {
		for i := range n.Incarnations {
			batches = append(batches, encoded(batchOf(i, uint64(beat+1), heartbeat(i, uint64(beat+1)))))
		}
	}
	return each(n.Incarnations, func() {
		for _, data := range batches[round*n.Incarnations : (round+1)*n.Incarnations] {
			f.fold(data)
		}
		round++
	})
}

// snapshotSlopes measures the ledger's and the configuration's snapshot.
func snapshotSlopes(n Samples) []Slope {
	f := newFolder()
	for i := range n.Budgets {
		f.fold(encoded(batchOf(1, uint64(i+1), topUp(i))))
	}
	var data []byte
	took := each(n.Budgets, func() {
		var err error
		if data, err = f.ledger.Snapshot(); err != nil {
			panic(err)
		}
	})
	restore := each(n.Budgets, func() {
		if err := budget.NewLedger().Restore(data); err != nil {
			panic(err)
		}
	})
	sealed, err := snapshot.Seal(&recordv1.FoldState{Offset: f.offset, Parts: []*recordv1.PartState{{Name: f.ledger.Name(), Data: data}}})
	if err != nil {
		panic(err)
	}
	seal := each(n.Budgets, func() {
		if _, err := snapshot.Seal(&recordv1.FoldState{Offset: f.offset, Parts: []*recordv1.PartState{{Name: f.ledger.Name(), Data: data}}}); err != nil {
			panic(err)
		}
	})
	return []Slope{
		{"sealed snapshot bytes per budget", float64(len(sealed)) / float64(n.Budgets), "B", "the same part compressed, as it goes through the log; names differ by numbers alone"},
		{"seal per budget", seal, "ns", "compress and sum, ledger part"},
		{"snapshot bytes per budget", float64(len(data)) / float64(n.Budgets), "B", "ledger part of 50,000 budgets, before compression"},
		{"snapshot per budget", took, "ns", "ledger part, written"},
		{"restore per budget", restore, "ns", "ledger part, read"},
	}
}

// changeBytes is the size of one ordinary change.
func changeBytes() float64 {
	return float64(proto.Size(batchOf(0, 1, change(fmt.Sprintf("change-%036d", 1), upstreamOf(1)))))
}
