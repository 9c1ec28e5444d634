package peer

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

// FuzzFrame decodes arbitrary bytes as a request from another node. A frame that makes the
// reader panic or allocate without bound would let one faulty peer crash this node.
func FuzzFrame(f *testing.F) {
	for _, r := range []*fleetv1.Request{
		{From: "n", Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: []*fleetv1.PeerView{{Beat: 1}}}}},
		{From: "n", Body: &fleetv1.Request_LogRead{LogRead: &fleetv1.LogRead{From: 1, WantState: true}}},
		{From: "n", Body: &fleetv1.Request_PingVia{PingVia: &fleetv1.PingVia{PeerAddress: "127.0.0.1:1"}}},
	} {
		var frame bytes.Buffer
		if _, err := protodelim.MarshalTo(&frame, r); err != nil {
			f.Fatal(err)
		}
		f.Add(frame.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f}) // length prefix exceeds the data
	f.Fuzz(func(t *testing.T, frame []byte) {
		request, err := readRequest(bufio.NewReader(bytes.NewReader(frame)))
		if err != nil {
			return
		}
		if proto.Size(request) > len(frame)*2+16 {
			t.Fatalf("a frame of %d bytes decoded to a message of %d bytes", len(frame), proto.Size(request))
		}
	})
}
