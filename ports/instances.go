package ports

import (
	"context"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
)

// InstanceList is the platform's list of live and leaving instances. It lags.
type InstanceList interface {
	List(ctx context.Context) ([]*platformv1.Instance, error)
}
