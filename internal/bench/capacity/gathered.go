package capacity

import (
	"math/rand/v2"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/record"
)

const (
	// flushSettlements is what a node settles in one flush at two years: 22.6 a second
	// for 200 ms.
	flushSettlements = 5
	// nodesADataCentre is 380 over 16.
	nodesADataCentre = 24
	samplesSeed      = 20261203
)

// gatheredSlopes measures settlements as they are written: one node's flush by itself,
// and those of a data centre's nodes in one record. Names compress by their
// repetitions, so budgets and tokens are drawn at random.
func gatheredSlopes(n Samples, size Size) []Slope {
	random := rand.New(rand.NewPCG(samplesSeed, 1))
	alone := flushes(random, n.Settlements, 1, size)
	gathered := flushes(random, n.Settlements, nodesADataCentre, size)
	aloneBytes, _ := packedBytes(alone)
	gatheredBytes, packed := packedBytes(gathered)
	settled := float64(len(gathered) * nodesADataCentre * flushSettlements)
	pack := each(int(settled), func() {
		for _, batches := range gathered {
			record.Pack(record.Join(batches))
		}
	})
	decode := each(int(settled), func() {
		for _, data := range packed {
			if _, err := record.Decode(data); err != nil {
				panic(err)
			}
		}
	})
	plain := each(int(settled), func() {
		for _, batches := range gathered {
			if _, err := record.Decode(record.Join(batches)); err != nil {
				panic(err)
			}
		}
	})
	return []Slope{
		{"decode per settlement, gathered and not packed", plain, "ns", "the same records, joined and unmarshalled"},
		{"log bytes per settlement, a flush alone", aloneBytes / float64(len(alone)*flushSettlements), "B", "packed, 5 settlements of one node, budgets drawn at random"},
		{"log bytes per settlement, gathered", gatheredBytes / settled, "B", "packed, 24 nodes with 5 settlements each in one record, budgets drawn at random"},
		{"pack per settlement", pack, "ns", "join and pack 24 marshalled batches, by the gatherer alone"},
		{"decode per settlement, gathered", decode, "ns", "unpack and unmarshal, by every node; without applying"},
	}
}

// flushes returns marshalled batches of so many nodes for each record.
func flushes(random *rand.Rand, settled, nodes int, size Size) [][][]byte {
	var records [][][]byte
	for range max(1, settled/nodes/flushSettlements) {
		var batches [][]byte
		for node := range nodes {
			entry := settlements(node, random.IntN(1_000_000), flushSettlements)
			for _, s := range entry.GetSettlements().GetSettlements() {
				s.Budget, s.Tokens = budgetName(random.IntN(size.Budgets)), uint64(random.IntN(1000))
			}
			batches = append(batches, encoded(&recordv1.Batch{Writer: incarnationName(node), Seq: random.Uint64N(1_000_000),
				Hlc: 1<<57 + random.Uint64N(1<<40), Entries: []*recordv1.Entry{entry}}))
		}
		records = append(records, batches)
	}
	return records
}

func packedBytes(records [][][]byte) (total float64, packed [][]byte) {
	for _, batches := range records {
		data := record.Pack(record.Join(batches))
		packed = append(packed, data)
		total += float64(len(data))
	}
	return total, packed
}
