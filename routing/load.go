package routing

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// LoadReport is what an engine says of itself. It lags.
type LoadReport struct {
	// Age of the sample when the report arrived. Clocks of engines aren't trusted.
	Age     time.Duration
	Running int
	Waiting int
	// PendingTokens are prompt tokens accepted and not yet prefilled.
	PendingTokens int
	// MemoryUsed is the share of KV memory that running requests use.
	MemoryUsed float64
	// Models that the engine holds; empty when it doesn't say.
	Models []LoadedModel
}

// LoadedModel is a model that an engine holds.
type LoadedModel struct {
	Model    string
	Version  string
	Adapters []string
}

// LoadSource reads load reports.
type LoadSource interface {
	Load(ctx context.Context, of *operatorv1.Upstream) (LoadReport, error)
}

// CacheEvent tells that a block was stored in or dropped from a prefix cache.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
}

// CacheEventSource reads cache events. They come late, and some never do.
type CacheEventSource interface {
	CacheEvents(ctx context.Context, of *operatorv1.Upstream, after uint64) ([]CacheEvent, error)
}
