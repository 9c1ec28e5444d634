package routing

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// LoadReport is the load that an engine reports. It lags behind the actual load.
type LoadReport struct {
	// Age of the sample when the report arrived. The clocks of engines aren't trusted.
	Age     time.Duration
	Running int
	Waiting int
	// PendingTokens are prompt tokens accepted and not yet prefilled.
	PendingTokens int
	// MemoryUsed is the share of KV memory that running requests use.
	MemoryUsed float64
	// SoftwareVersion is the version of the engine's software; empty when it doesn't report it.
	SoftwareVersion string
	// Models that the engine has loaded; empty when it doesn't report them.
	Models []LoadedModel
}

// LoadedModel is a model that an engine has loaded, with its adapters.
type LoadedModel struct {
	Model    string
	Version  string
	Adapters []string
}

// LoadSource fetches load reports.
type LoadSource interface {
	Load(ctx context.Context, upstream *operatorv1.Upstream) (LoadReport, error)
}

// CacheEvent reports that a block was stored in or evicted from a prefix cache.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
}

// CacheEventSource fetches cache events. They arrive late, and some are lost.
type CacheEventSource interface {
	CacheEvents(ctx context.Context, upstream *operatorv1.Upstream, after uint64) ([]CacheEvent, error)
}
