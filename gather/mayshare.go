package gather

import (
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// mayShareRecord reports whether a batch may share its record with other nodes' batches.
//
// One with configuration changes may not. A resource's version is the offset of the
// change that created it, and all batches of a record have the same offset: two changes
// of one resource by two nodes would create the same version, and an operator who saw
// the first could overwrite the second unnoticed. Changes are rare, and faster alone.
func mayShareRecord(data []byte) bool {
	if len(data) > maxSharedBatchBytes {
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
