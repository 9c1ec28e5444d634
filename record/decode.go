package record

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// SupportedForms is the highest form of records that this version reads, as nodes announce
// it in their heartbeats. A form is written only while every open node announces it: a
// version that doesn't support it would bill and grant differently from all others.
const SupportedForms = FormsWitnessed

// Each value implies support for the form named and all lower ones.
const (
	// FormsGathered adds gathered and packed records. Older versions take them for empty
	// ones.
	FormsGathered = 1
	// FormsWitnessed adds settlements that a witness writes for an incarnation that is
	// open and silent. Older versions refuse them.
	FormsWitnessed = 2
)

// Decode returns the batches of a record in the order in which they are applied. It never
// returns a batch that contains others, so that a record has one meaning.
func Decode(data []byte) ([]*recordv1.Batch, error) {
	batch, err := parseBatch(data)
	if err != nil {
		return nil, err
	}
	if len(batch.GetPacked()) > 0 {
		if batch, err = unpackBatch(batch.GetPacked()); err != nil {
			return nil, err
		}
	}
	batches := []*recordv1.Batch{batch}
	if len(batch.GetGathered()) > 0 {
		batches = batch.GetGathered()
	}
	for _, inner := range batches {
		if !isPlain(inner) {
			return nil, errors.New("a batch within a record contains other batches")
		}
	}
	return batches, nil
}

// CheckJoinable returns an error unless data is one batch that can be joined with others.
// A gatherer must check this: one undecodable batch makes the whole record undecodable,
// and the other writers' entries would be lost although reported as appended.
func CheckJoinable(data []byte) error {
	batch, err := parseBatch(data)
	if err != nil {
		return err
	}
	if batch.GetWriter() == "" || !isPlain(batch) {
		return errors.New("not a plain batch of one writer")
	}
	return nil
}

func parseBatch(data []byte) (*recordv1.Batch, error) {
	batch := &recordv1.Batch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		return nil, errors.Annotate(err, "batch")
	}
	return batch, nil
}

// unpackBatch unpacks into a reused buffer: the parsed message keeps no reference to it.
func unpackBatch(body []byte) (*recordv1.Batch, error) {
	u := unpackerPool.Get().(*unpacker)
	defer u.release()
	unpacked, err := u.unpack(body)
	if err != nil {
		return nil, err
	}
	return parseBatch(unpacked)
}

func isPlain(batch *recordv1.Batch) bool {
	return len(batch.GetGathered()) == 0 && len(batch.GetPacked()) == 0
}
