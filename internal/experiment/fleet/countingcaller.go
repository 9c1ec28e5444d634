package fleet

import (
	"context"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/peer"
)

// callCount is the calls of one kind that a node made, and the bytes of their
// requests and answers before framing.
type callCount struct{ calls, bytes atomic.Int64 }

// countingCaller counts a node's calls by what they are for.
type countingCaller struct {
	peer.Caller
	pings, reads, others callCount
	// remote tells whether an address is in the other region.
	remote    func(address string) bool
	crossings *crossings
}

// Call implements peer.Caller.
func (c *countingCaller) Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error) {
	response, err := c.Caller.Call(ctx, address, request)
	count := &c.others
	switch request.GetBody().(type) {
	case *fleetv1.Request_Ping:
		count = &c.pings
	case *fleetv1.Request_LogRead:
		count = &c.reads
	}
	if c.remote(address) {
		for _, entry := range response.GetLogSlice().GetRecords() {
			c.crossings.add(entry.GetData())
		}
	}
	count.calls.Add(1)
	count.bytes.Add(int64(proto.Size(request) + proto.Size(response)))
	return response, err
}
