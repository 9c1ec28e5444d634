package gateway

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

// Guards against work that grows with the fleet for each response: nodes are counted only for upstreams that
// say that they are brittle.
func TestOnlyBrittleUpstreamsCostACountOfNodes(t *testing.T) {
	is := is.New(t)
	isBrittle, counts := false, 0
	tg := newTestGateway(0, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		response := newResponse(200, false, strings.NewReader("ok"))
		response.Brittle, response.BrittleLimit = isBrittle, 3
		return response, nil
	})
	tg.Senders = func() int { counts++; return 1 }
	is.Equal(tg.serve(context.Background(), "file").status, 200)
	is.Equal(counts, 0)
	isBrittle = true
	is.Equal(tg.serve(context.Background(), "file").status, 200)
	is.Equal(counts, 1)
}
