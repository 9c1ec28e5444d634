package ports

import (
	"context"
	"time"
)

// WeightStore is the platform's store of model weights. It is rate-limited.
type WeightStore interface {
	// Fetch requests that a model version's weights be sent to an engine. A non-zero
	// wait means that the store doesn't accept a fetch yet.
	Fetch(ctx context.Context, model, version string) (bytes uint64, wait time.Duration, err error)
}
