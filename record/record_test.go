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

func checkDecodes(t *testing.T, data []byte, want ...*recordv1.Batch) {
	t.Helper()
	is := is.New(t)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(len(got), len(want))
	for i := range want {
		is.True(proto.Equal(got[i], want[i]))
	}
}

// Records of before there were gathered or packed ones mean what they meant, and the
// new forms mean the same as their batches one after the other.
func TestAllFormsDecodeToTheirBatches(t *testing.T) {
	is := is.New(t)
	a, b := batch("a", 7, 60), batch("b", 3, 1)
	checkDecodes(t, marshal(t, a), a)
	joined := Join([][]byte{marshal(t, a), marshal(t, b)})
	checkDecodes(t, joined, a, b)
	packed := Pack(joined)
	is.True(len(packed) < len(joined))
	checkDecodes(t, packed, a, b)
	checkDecodes(t, Pack(marshal(t, a)), a)
	checkDecodes(t, Pack(marshal(t, b)), b)
	is.Equal(Pack(marshal(t, b)), marshal(t, b)) // too small to gain
	is.Equal(marshal(t, &recordv1.Batch{Gathered: []*recordv1.Batch{a, b}}), joined)
}

// A gatherer that joined what it can't read would make the record unreadable, and the
// other writers' settlements in it would go unbilled.
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

// One bad record that unpacks to more memory than an instance has would end every
// node of the fleet, and every new one when it reads there.
func TestOversizedPackedRecordIsRejected(t *testing.T) {
	is := is.New(t)
	var body bytes.Buffer
	w, err := flate.NewWriter(&body, flate.BestSpeed)
	is.NoErr(err)
	_, err = w.Write(make([]byte, maxUnpacked+1))
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = Decode(protowire.AppendBytes(protowire.AppendTag(nil, packedField, protowire.BytesType), body.Bytes()))
	is.True(err != nil)
	large := make([]byte, maxUnpacked+1)
	is.Equal(len(Pack(large)), len(large)) // never written packed
}
