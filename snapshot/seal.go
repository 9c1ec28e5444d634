package snapshot

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// maxStateBytes bounds what Open decompresses, so that a corrupt state can't exhaust
// memory.
const maxStateBytes = 256 << 20

// Seal compresses a state, for the log or for a peer, and adds a checksum.
func Seal(state *recordv1.FoldState) ([]byte, error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, errors.Trace(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	sealed := &recordv1.SealedState{Compressed: packed.Bytes(), Sum: xxhash.Sum64(packed.Bytes())}
	return proto.Marshal(sealed)
}

// Open verifies and decompresses a state that Seal returned.
func Open(data []byte) (*recordv1.FoldState, error) {
	sealed := &recordv1.SealedState{}
	if err := proto.Unmarshal(data, sealed); err != nil {
		return nil, errors.Annotate(err, "sealed state")
	}
	if xxhash.Sum64(sealed.GetCompressed()) != sealed.GetSum() {
		return nil, errors.New("the state's checksum doesn't match")
	}
	reader := flate.NewReader(bytes.NewReader(sealed.GetCompressed()))
	plain, err := io.ReadAll(io.LimitReader(reader, maxStateBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "compressed state")
	}
	if len(plain) > maxStateBytes {
		return nil, errors.Errorf("the state is larger than %d bytes", maxStateBytes)
	}
	state := &recordv1.FoldState{}
	if err := proto.Unmarshal(plain, state); err != nil {
		return nil, errors.Annotate(err, "state")
	}
	return state, nil
}
