package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/snapshot"
)

const settlementsPerBatch = 50

// ledgerSlopes measures what applying top-ups, shares, settlements and heartbeats to the
// ledger costs every node.
func ledgerSlopes(n Samples) []Slope {
	applier := newBatchApplier()
	applier.apply(marshalBatch(newBatch(0, 1, heartbeat(0, 1))))
	budgetBytes := heapPerItem(n.Budgets, func() any {
		for i := range n.Budgets {
			applier.apply(marshalBatch(newBatch(1, uint64(i+1), topUp(i))))
		}
		return applier
	})
	shareBytes := heapPerItem(n.Shares, func() any {
		for i := range n.Shares {
			applier.apply(marshalBatch(newBatch(0, uint64(i+2), shareClaim(i))))
		}
		return applier
	})
	seq := uint64(n.Shares + 2)
	batches := make([][]byte, 0, n.Settlements/settlementsPerBatch)
	batchBytes := 0
	nextCounter := 1
	for range n.Settlements / settlementsPerBatch {
		batches = append(batches, nil)
	}
	encodeNanos := nanosPerOperation(n.Settlements, func() {
		for i := range batches {
			batches[i] = marshalBatch(newBatch(0, seq, settlements(0, nextCounter, settlementsPerBatch)))
			seq, nextCounter = seq+1, nextCounter+settlementsPerBatch
		}
	})
	batchBytes = len(batches[0])
	encodeOnly := encodeNanos
	start := time.Now()
	for _, data := range batches {
		applier.apply(data)
	}
	foldNanos := float64(time.Since(start).Nanoseconds()) / float64(n.Settlements)
	heartbeatBatch := marshalBatch(newBatch(1, 1, heartbeat(1, 1)))
	return []Slope{
		{"ledger memory per budget", budgetBytes, "B", "50,000 top-ups folded, one budget each; includes the top-up's id"},
		{"ledger memory per share", shareBytes, "B", "20,000 claims of one incarnation folded"},
		{"log bytes per settlement", float64(batchBytes) / settlementsPerBatch, "B", "one batch of 50 settlements, UUID incarnation, 22-letter budget"},
		{"encode per settlement", encodeOnly, "ns", "building and marshalling batches of 50"},
		{"fold per settlement", foldNanos, "ns", "unmarshal and apply, batches of 50"},
		{"log bytes per heartbeat", float64(len(heartbeatBatch)), "B", "a batch with one heartbeat"},
		{"ledger memory per incarnation", incarnationBytes(n), "B", "400 first heartbeats folded"},
		{"ledger memory per open settlement", openSettlementBytes(n), "B", "settlements above the oldest open counter"},
		{"fold per heartbeat", foldHeartbeatNanos(n), "ns", "unmarshal and apply"},
	}
}

func incarnationBytes(n Samples) float64 {
	applier := newBatchApplier()
	return heapPerItem(n.Incarnations, func() any {
		for i := range n.Incarnations {
			applier.apply(marshalBatch(newBatch(i, 1, heartbeat(i, 1))))
		}
		return applier
	})
}

func openSettlementBytes(n Samples) float64 {
	applier := newBatchApplier()
	applier.apply(marshalBatch(newBatch(0, 1, heartbeat(0, 1))))
	applier.apply(marshalBatch(newBatch(1, 1, topUp(0))))
	applier.apply(marshalBatch(newBatch(0, 2, shareClaim(0))))
	return heapPerItem(n.Settlements, func() any {
		for i := range n.Settlements / settlementsPerBatch {
			entry := settlements(0, 2+i*settlementsPerBatch, settlementsPerBatch)
			entry.GetSettlements().OldestOpen = 1
			applier.apply(marshalBatch(newBatch(0, uint64(i+3), entry)))
		}
		return applier
	})
}

func foldHeartbeatNanos(n Samples) float64 {
	applier := newBatchApplier()
	round := 0
	batches := make([][]byte, 0, n.Incarnations*rounds)
	for heartbeatRound := range rounds {
		for i := range n.Incarnations {
			batches = append(batches, marshalBatch(newBatch(i, uint64(heartbeatRound+1), heartbeat(i, uint64(heartbeatRound+1)))))
		}
	}
	return nanosPerOperation(n.Incarnations, func() {
		for _, data := range batches[round*n.Incarnations : (round+1)*n.Incarnations] {
			applier.apply(data)
		}
		round++
	})
}

// snapshotSlopes measures the ledger's snapshot: writing, sealing and restoring it.
func snapshotSlopes(n Samples) []Slope {
	applier := newBatchApplier()
	for i := range n.Budgets {
		applier.apply(marshalBatch(newBatch(1, uint64(i+1), topUp(i))))
	}
	var data []byte
	snapshotNanos := nanosPerOperation(n.Budgets, func() {
		var err error
		if data, err = applier.ledger.Snapshot(); err != nil {
			panic(err)
		}
	})
	restoreNanos := nanosPerOperation(n.Budgets, func() {
		if err := budget.NewLedger().Restore(data); err != nil {
			panic(err)
		}
	})
	sealed, err := snapshot.Seal(&recordv1.FoldState{Offset: applier.offset, Parts: []*recordv1.PartState{{Name: applier.ledger.Name(), Data: data}}})
	if err != nil {
		panic(err)
	}
	sealNanos := nanosPerOperation(n.Budgets, func() {
		if _, err := snapshot.Seal(&recordv1.FoldState{Offset: applier.offset, Parts: []*recordv1.PartState{{Name: applier.ledger.Name(), Data: data}}}); err != nil {
			panic(err)
		}
	})
	return []Slope{
		{"sealed snapshot bytes per budget", float64(len(sealed)) / float64(n.Budgets), "B", "the same part compressed, as it goes through the log; names differ by numbers alone"},
		{"seal per budget", sealNanos, "ns", "compress and checksum, ledger part"},
		{"snapshot bytes per budget", float64(len(data)) / float64(n.Budgets), "B", "ledger part of 50,000 budgets, before compression"},
		{"snapshot per budget", snapshotNanos, "ns", "ledger part, written"},
		{"restore per budget", restoreNanos, "ns", "ledger part, read"},
	}
}

// configChangeBytes returns the log bytes of a change of one upstream.
func configChangeBytes() float64 {
	return float64(proto.Size(newBatch(0, 1, configChange(fmt.Sprintf("change-%036d", 1), upstreamResource(1)))))
}
