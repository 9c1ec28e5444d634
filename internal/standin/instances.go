package standin

import (
	"context"
	"sync"

	"github.com/juju/errors"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/ports"
)

// Instances is the platform's instance list. It implements ports.Instances.
type Instances struct {
	mu   sync.Mutex
	list []*platformv1.Instance
	down bool
}

var _ ports.InstanceList = (*Instances)(nil)

// NewInstances returns a list that holds the given instances.
func NewInstances(list ...*platformv1.Instance) *Instances { return &Instances{list: list} }

// Set replaces the list.
func (i *Instances) Set(list []*platformv1.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list = list
}

// SetDown switches the list off or on.
func (i *Instances) SetDown(down bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.down = down
}

// List implements ports.Instances.
func (i *Instances) List(context.Context) ([]*platformv1.Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return nil, errors.Trace(ErrDown)
	}
	return append([]*platformv1.Instance(nil), i.list...), nil
}
