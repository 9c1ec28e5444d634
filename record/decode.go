package record

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// SupportedForms is which forms of records this version reads, as nodes announce it in their
// heartbeats. A form is written only while every open node announces it: a program that
// doesn't know it would bill and grant otherwise than all others.
const SupportedForms = FormsWitnessed

// What a program reads that announces at least so much.
const (
	// FormsGathered: gathered and packed records. Others take them for empty ones.
	FormsGathered = 1
	// FormsWitnessed: settlements that a witness writes for an incarnation that is open
	// and silent. Others refuse them.
	FormsWitnessed = 2
)

// Decode returns the batches that a record holds, in the order in which they are
// folded. It never returns a batch that holds others, so that a record has one
// meaning.
func Decode(data []byte) ([]*recordv1.Batch, error) {
	batch, err := parse(data)
	if err != nil {
		return nil, err
	}
	if len(batch.GetPacked()) > 0 {
		if batch, err = parsePacked(batch.GetPacked()); err != nil {
			return nil, err
		}
	}
	batches := []*recordv1.Batch{batch}
	if len(batch.GetGathered()) > 0 {
		batches = batch.GetGathered()
	}
	for _, held := range batches {
		if !plain(held) {
			return nil, errors.New("a batch within a record holds others")
		}
	}
	return batches, nil
}

// CheckJoinable tells whether data is one batch that can be joined with others. A gatherer
// must know: one batch that can't be read makes the whole record unreadable, and
// the other writers' entries would be lost although each was told they are in the log.
func CheckJoinable(data []byte) error {
	batch, err := parse(data)
	if err != nil {
		return err
	}
	if batch.GetWriter() == "" || !plain(batch) {
		return errors.New("not a batch of one writer")
	}
	return nil
}

func parse(data []byte) (*recordv1.Batch, error) {
	batch := &recordv1.Batch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		return nil, errors.Annotate(err, "batch")
	}
	return batch, nil
}

// parsePacked unpacks into room that is used again: a parsed message keeps nothing of it.
func parsePacked(body []byte) (*recordv1.Batch, error) {
	u := unpackers.Get().(*unpacker)
	defer u.keep()
	record, err := u.unpack(body)
	if err != nil {
		return nil, err
	}
	return parse(record)
}

func plain(batch *recordv1.Batch) bool {
	return len(batch.GetGathered()) == 0 && len(batch.GetPacked()) == 0
}
