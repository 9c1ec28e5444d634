package gather

import (
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// gathers tells whether a batch may share its record with those of others.
//
// One with changes of the configuration may not. A resource's version is the offset of
// the change that made it, and all batches of a record have one offset: two changes of one
// resource by two nodes would make the same version, and an operator who saw the first
// of them could overwrite the second without being told. Changes are few, and go faster
// alone.
func gathers(data []byte) bool {
	if len(data) > maxBatch {
		return false
	}
	batch := &recordv1.Batch{}
	if proto.Unmarshal(data, batch) != nil {
		return false
	}
	for _, entry := range batch.GetEntries() {
		if entry.GetConfig() != nil {
			return false
		}
	}
	return true
}
