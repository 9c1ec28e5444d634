package ports

import (
	"context"
	"time"
)

// WeightStore is the platform's weight store. It limits its rate.
type WeightStore interface {
	// Fetch asks for a model version's weights to be sent to an engine. A non-zero
	// wait means that the store admits no fetch yet.
	Fetch(ctx context.Context, model, version string) (bytes uint64, wait time.Duration, err error)
}
