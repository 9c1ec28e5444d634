package ports

import (
	"context"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
)

// Instances is the platform's list of live and leaving instances. It lags.
type Instances interface {
	List(ctx context.Context) ([]*platformv1.Instance, error)
}
