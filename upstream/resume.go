package upstream

import (
	"context"
	"fmt"

	"github.com/cloudwego/hertz/pkg/protocol"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Resumer resumes streams that engines keep for a while.
type Resumer interface {
	// Resume returns the stream of a request, starting at the chunk with number from. It fails
	// with StreamLost if the engine no longer holds the stream or has canceled it.
	Resume(ctx context.Context, to *operatorv1.Upstream, id string, from uint64) (ChatStream, error)
}

var _ Resumer = (*HTTPClient)(nil)

// Resume implements Resumer.
func (c *HTTPClient) Resume(ctx context.Context, to *operatorv1.Upstream, id string, from uint64) (ChatStream, error) {
	request := protocol.AcquireRequest()
	request.SetMethod("GET")
	request.SetRequestURI(fmt.Sprintf("http://%s/v1/streams/%s?from=%d", to.GetAddress(), id, from))
	request.Header.Set(HeaderRequestID, id)
	return c.stream(ctx, to, request, streamParams{id: id, from: from})
}
