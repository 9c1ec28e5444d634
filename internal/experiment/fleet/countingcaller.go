package fleet

import (
	"context"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/peer"
)

// callStats counts the calls of one kind that a node made, and the bytes of their
// requests and responses before framing.
type callStats struct{ calls, bytes atomic.Int64 }

// countingCaller counts a node's calls by kind.
type countingCaller struct {
	peer.Caller
	pings, reads, others callStats
	// remote reports whether an address is in the other region.
	remote      func(address string) bool
	changeReads *changeReads
}

// Call implements peer.Caller.
func (c *countingCaller) Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error) {
	response, err := c.Caller.Call(ctx, address, request)
	stats := &c.others
	switch request.GetBody().(type) {
	case *fleetv1.Request_Ping:
		stats = &c.pings
	case *fleetv1.Request_LogRead:
		stats = &c.reads
	}
	if c.remote(address) {
		for _, entry := range response.GetLogSlice().GetRecords() {
			c.changeReads.record(entry.GetData())
		}
	}
	stats.calls.Add(1)
	stats.bytes.Add(int64(proto.Size(request) + proto.Size(response)))
	return response, err
}
