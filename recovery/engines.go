package recovery

import (
	"context"

	"lavenderpin.dev/lavenderpin/upstream"
)

// Engines asks upstreams by name about requests of a dead node.
type Engines interface {
	// ReportsUsage tells whether the upstream counts requests; plain services don't.
	ReportsUsage(upstream string) bool
	// Reachable is false while the upstream's region is cut off: the upstream then may be
	// well and answer once the cut ends.
	Reachable(upstream string) bool
	Usage(ctx context.Context, upstream, request string) (upstream.UsageReport, error)
	Cancel(ctx context.Context, upstream, request string) error
}
