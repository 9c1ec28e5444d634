package membership

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/platform"
)

const (
	// listInterval is how often the platform's list is asked for. With what the
	// answer takes it stays well under the three seconds within which a leaving
	// upstream must get no new work.
	listInterval = time.Second
	listTimeout  = time.Second
	roleEntry    = "entry"
	roleUpstream = "upstream"
)

// Instances keeps the platform's last answer. It is safe for concurrent use.
type Instances struct {
	list   platform.Instances
	clock  clockwork.Clock
	events *event.Recorder
	last   atomic.Pointer[listed]
	down   bool
	mu     sync.Mutex
}

// listed is one answer, indexed for the request path. It never changes.
type listed struct {
	peers   []string
	leaving map[string]bool
	// changes counts how often leaving became another one.
	changes uint64
}

// NewInstances returns a list that knows nothing yet.
func NewInstances(list platform.Instances, clock clockwork.Clock, events *event.Recorder) *Instances {
	i := &Instances{list: list, clock: clock, events: events}
	i.last.Store(&listed{leaving: map[string]bool{}})
	return i
}

// Run asks for the list until ctx ends.
func (i *Instances) Run(ctx context.Context) {
	ticker := i.clock.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		i.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Refresh asks once. While the platform's list is down the last answer stays in use:
// leaving upstreams stay out, and no node is taken as gone for it.
func (i *Instances) Refresh(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, i.clock, listTimeout)
	defer cancel()
	instances, err := i.list.List(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if err != nil {
		if !i.down {
			i.events.Record(event.InstancesDown, "why", err)
		}
		i.down = true
		return
	}
	i.down = false
	i.take(instances)
}

func (i *Instances) take(instances []*platformv1.Instance) {
	before := i.last.Load()
	// An upstream that vanishes after it was leaving is gone, not back.
	now := &listed{leaving: maps.Clone(before.leaving)}
	for _, instance := range instances {
		leaving := instance.GetState() == platformv1.InstanceState_INSTANCE_STATE_LEAVING
		switch {
		case instance.GetRole() == roleEntry && !leaving:
			now.peers = append(now.peers, instance.GetAddress())
		case instance.GetRole() == roleUpstream && !leaving:
			delete(now.leaving, instance.GetAddress())
		case instance.GetRole() == roleUpstream:
			now.leaving[instance.GetAddress()] = true
			if !before.leaving[instance.GetAddress()] {
				i.events.Record(event.UpstreamLeaving, "upstream", instance.GetAddress())
			}
		}
	}
	now.changes = before.changes
	if !maps.Equal(now.leaving, before.leaving) {
		now.changes++
	}
	i.last.Store(now)
}

// Peers returns the peer addresses of the entry instances listed as live.
func (i *Instances) Peers() []string { return i.last.Load().peers }

// Changes returns a number that rises whenever an upstream begins or ceases to leave.
func (i *Instances) Changes() uint64 { return i.last.Load().changes }

// Leaving tells whether the list shows the upstream at an address as leaving.
func (i *Instances) Leaving(address string) bool { return i.last.Load().leaving[address] }
