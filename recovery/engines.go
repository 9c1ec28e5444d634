package recovery

import (
	"context"

	"lavenderpin.dev/lavenderpin/upstream"
)

// Engines asks upstreams by name about requests of a dead node.
type Engines interface {
	// Counts tells whether the upstream counts requests; plain services don't.
	Counts(upstream string) bool
	Usage(ctx context.Context, upstream, request string) (upstream.UsageReport, error)
	Cancel(ctx context.Context, upstream, request string) error
}
