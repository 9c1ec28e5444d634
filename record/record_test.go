package record

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

func batch(writer string, seq uint64, entries int) *recordv1.Batch {
	b := &recordv1.Batch{Writer: writer, Seq: seq}
	for i := range entries {
		b.Entries = append(b.Entries, &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{
			ShareClaim: &recordv1.ShareClaim{Budget: fmt.Sprintf("summaries-%d", i), Tokens: uint64(i)}}})
	}
	return b
}

func marshal(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func assertDecodes(t *testing.T, data []byte, want ...*recordv1.Batch) {
	t.Helper()
	is := is.New(t)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(len(got), len(want))
	for i := range want {
		is.True(proto.Equal(got[i], want[i]))
	}
}

// Plain records, the form that older versions wrote, still decode to their batch, and
// gathered and packed records decode to their batches in order.
func TestAllFormsDecodeToTheirBatches(t *testing.T) {
	is := is.New(t)
	a, b := batch("a", 7, 60), batch("b", 3, 1)
	assertDecodes(t, marshal(t, a), a)
	joined := Join([][]byte{marshal(t, a), marshal(t, b)})
	assertDecodes(t, joined, a, b)
	packed := Pack(joined)
	is.True(len(packed) < len(joined))
	assertDecodes(t, packed, a, b)
	assertDecodes(t, Pack(marshal(t, a)), a)
	assertDecodes(t, Pack(marshal(t, b)), b)
	is.Equal(Pack(marshal(t, b)), marshal(t, b)) // too small to benefit
	is.Equal(marshal(t, &recordv1.Batch{Gathered: []*recordv1.Batch{a, b}}), joined)
}

// If a gatherer joined an undecodable batch, the whole record would be undecodable, and
// the other writers' settlements in it would go unbilled.
func TestUnjoinableBatchesAreRejected(t *testing.T) {
	is := is.New(t)
	a := batch("a", 1, 60)
	is.NoErr(CheckJoinable(marshal(t, a)))
	for name, data := range map[string][]byte{
		"cut": marshal(t, a)[:20], "empty": nil,
		"gathered": Join([][]byte{marshal(t, a), marshal(t, a)}), "packed": Pack(marshal(t, a)),
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(CheckJoinable(data) != nil) })
	}
	nested := &recordv1.Batch{Gathered: []*recordv1.Batch{{Gathered: []*recordv1.Batch{a}}}}
	_, err := Decode(marshal(t, nested))
	is.True(err != nil)
}

// A bad record that unpacks to more memory than an instance has would crash every node of
// the fleet, and every new node when it reads that record.
func TestOversizedPackedRecordIsRejected(t *testing.T) {
	is := is.New(t)
	var body bytes.Buffer
	w, err := flate.NewWriter(&body, flate.BestSpeed)
	is.NoErr(err)
	_, err = w.Write(make([]byte, maxUnpackedBytes+1))
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = Decode(protowire.AppendBytes(protowire.AppendTag(nil, packedField, protowire.BytesType), body.Bytes()))
	is.True(err != nil)
	large := make([]byte, maxUnpackedBytes+1)
	is.Equal(len(Pack(large)), len(large)) // never written packed
}
