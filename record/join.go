package record

import (
	"google.golang.org/protobuf/encoding/protowire"
)

// gatheredField is the number of record.v1.Batch.gathered, packedField of packed.
const (
	gatheredField = 5
	packedField   = 6
)

// Join returns one record that holds marshalled batches in their order. They are
// copied as they are, so that a batch appended both alone and gathered is the same
// to whoever folds it.
func Join(batches [][]byte) []byte {
	if len(batches) == 1 {
		return batches[0]
	}
	size := 0
	for _, batch := range batches {
		size += protowire.SizeTag(gatheredField) + protowire.SizeBytes(len(batch))
	}
	joined := make([]byte, 0, size)
	for _, batch := range batches {
		joined = protowire.AppendTag(joined, gatheredField, protowire.BytesType)
		joined = protowire.AppendBytes(joined, batch)
	}
	return joined
}
