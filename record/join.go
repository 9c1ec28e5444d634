package record

import (
	"google.golang.org/protobuf/encoding/protowire"
)

// gatheredField and packedField are the field numbers of record.v1.Batch.
const (
	gatheredField = 5
	packedField   = 6
)

// Join returns one record that holds marshalled batches in the given order. They are
// copied unchanged, so that a batch decodes to the same whether appended alone or
// gathered.
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
