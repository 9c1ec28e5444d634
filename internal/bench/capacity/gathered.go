package capacity

import (
	"math/rand/v2"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/record"
)

const (
	// settlementsPerFlush is a node's settlements in one flush at TwoYearSize: 22.6 a second
	// for 200 ms.
	settlementsPerFlush = 5
	// nodesPerDataCentre is 380 nodes over 16 data centres.
	nodesPerDataCentre = 24
	sampleSeed         = 20261203
)

// gatheredSlopes measures settlements as they are written to the log: one node's flush alone,
// and the flushes of a data centre's nodes in one record. Budgets and tokens are drawn at
// random, because repeated names would compress too well.
func gatheredSlopes(n Samples, size Size) []Slope {
	rng := rand.New(rand.NewPCG(sampleSeed, 1))
	single := randomFlushes(rng, n.Settlements, 1, size)
	gathered := randomFlushes(rng, n.Settlements, nodesPerDataCentre, size)
	singleBytes, _ := packRecords(single)
	gatheredBytes, packed := packRecords(gathered)
	settlementCount := float64(len(gathered) * nodesPerDataCentre * settlementsPerFlush)
	pack := nanosPerOperation(int(settlementCount), func() {
		for _, batches := range gathered {
			record.Pack(record.Join(batches))
		}
	})
	decode := nanosPerOperation(int(settlementCount), func() {
		for _, data := range packed {
			if _, err := record.Decode(data); err != nil {
				panic(err)
			}
		}
	})
	decodeUnpacked := nanosPerOperation(int(settlementCount), func() {
		for _, batches := range gathered {
			if _, err := record.Decode(record.Join(batches)); err != nil {
				panic(err)
			}
		}
	})
	return []Slope{
		{"decode per settlement, gathered and not packed", decodeUnpacked, "ns", "the same records, joined and unmarshalled"},
		{"log bytes per settlement, a flush alone", singleBytes / float64(len(single)*settlementsPerFlush), "B", "packed, 5 settlements of one node, budgets drawn at random"},
		{"log bytes per settlement, gathered", gatheredBytes / settlementCount, "B", "packed, 24 nodes with 5 settlements each in one record, budgets drawn at random"},
		{"pack per settlement", pack, "ns", "join and pack 24 marshalled batches, by the gatherer alone"},
		{"decode per settlement, gathered", decode, "ns", "unpack and unmarshal, by every node; without applying"},
	}
}

// randomFlushes returns records with about settlementCount settlements in total; each record
// holds one marshalled batch of every node.
func randomFlushes(rng *rand.Rand, settlementCount, nodes int, size Size) [][][]byte {
	var records [][][]byte
	for range max(1, settlementCount/nodes/settlementsPerFlush) {
		var batches [][]byte
		for node := range nodes {
			entry := settlements(node, rng.IntN(1_000_000), settlementsPerFlush)
			for _, s := range entry.GetSettlements().GetSettlements() {
				s.Budget, s.Tokens = budgetName(rng.IntN(size.Budgets)), uint64(rng.IntN(1000))
			}
			batches = append(batches, marshalBatch(&recordv1.Batch{Writer: incarnationName(node), Seq: rng.Uint64N(1_000_000),
				Hlc: 1<<57 + rng.Uint64N(1<<40), Entries: []*recordv1.Entry{entry}}))
		}
		records = append(records, batches)
	}
	return records
}

func packRecords(records [][][]byte) (total float64, packed [][]byte) {
	for _, batches := range records {
		data := record.Pack(record.Join(batches))
		packed = append(packed, data)
		total += float64(len(data))
	}
	return total, packed
}
