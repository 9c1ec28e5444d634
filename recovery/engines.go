package recovery

import (
	"context"

	"lavenderpin.dev/lavenderpin/upstream"
)

// Engines queries upstreams, by name, about requests of a dead node.
type Engines interface {
	// ReportsUsage reports whether the upstream counts the usage of requests; plain services
	// don't.
	ReportsUsage(upstream string) bool
	// Reachable is false while the upstream's region is cut off; the upstream may then be
	// healthy and answer once the partition ends.
	Reachable(upstream string) bool
	Usage(ctx context.Context, upstream, request string) (upstream.UsageReport, error)
	Cancel(ctx context.Context, upstream, request string) error
}
