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
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/ports"
)

const (
	// listInterval is how often the platform's list is asked for. With what the
	// answer takes it stays well under the three seconds within which a leaving
	// upstream must get no new work.
	listInterval = time.Second
	// listTimeout bounds one answer, and maxAsking how many are waited for at once: a
	// platform that answers slowly is asked as often as one that doesn't, since waiting
	// for each answer would add its time to the interval.
	listTimeout  = 5 * time.Second
	maxAsking    = int(listTimeout / listInterval)
	roleEntry    = "entry"
	roleUpstream = "upstream"
)

// Instances keeps the platform's last answer. It is safe for concurrent use.
type Instances struct {
	list   ports.Instances
	clock  clockwork.Clock
	events *event.Recorder
	last   atomic.Pointer[listed]
	asked  atomic.Uint64

	mu   sync.Mutex
	down bool
	// heard is the number of the latest question that was answered or failed.
	heard uint64
}

// listed is one answer, indexed for the request path. It never changes.
type listed struct {
	peers   []string
	leaving map[string]bool
	// entries holds the addresses of all entry instances, live or leaving.
	entries map[string]bool
	// at is when the answer came; zero before the first.
	at time.Time
	// changes counts how often leaving became another one.
	changes uint64
}

// NewInstances returns a list that knows nothing yet.
func NewInstances(list ports.Instances, clock clockwork.Clock, events *event.Recorder) *Instances {
	i := &Instances{list: list, clock: clock, events: events}
	i.last.Store(&listed{leaving: map[string]bool{}})
	return i
}

// Run asks for the list until ctx ends.
func (i *Instances) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	asking := make(chan struct{}, maxAsking)
	periodic.RunNow(ctx, i.clock, listInterval, func(ctx context.Context) {
		select {
		case asking <- struct{}{}:
			wait.Go(func() {
				i.Refresh(ctx)
				<-asking
			})
		default:
		}
	})
}

// Refresh asks once. While the platform's list is down the last answer stays in use:
// leaving upstreams stay out, and no node is taken as gone for it. An answer that a later
// question overtook says nothing: it would bring back an upstream that leaves.
func (i *Instances) Refresh(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, i.clock, listTimeout)
	defer cancel()
	number := i.asked.Add(1)
	instances, err := i.list.List(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if number < i.heard {
		return
	}
	i.heard = number
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
	now := &listed{leaving: maps.Clone(before.leaving), entries: map[string]bool{}, at: i.clock.Now()}
	for _, instance := range instances {
		if instance.GetRole() == roleEntry {
			now.entries[instance.GetAddress()] = true
		}
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

// PeerAddresses returns the peer addresses of the entry instances listed as live.
func (i *Instances) PeerAddresses() []string { return i.last.Load().peers }

// EntryAddresses returns the peer addresses of all entry instances that the last answer
// shows, live or leaving, and when it came. The map must not be changed.
func (i *Instances) EntryAddresses() (addresses map[string]bool, at time.Time) {
	last := i.last.Load()
	return last.entries, last.at
}

// LeavingVersion returns a number that rises whenever an upstream begins or ceases to leave.
func (i *Instances) LeavingVersion() uint64 { return i.last.Load().changes }

// IsLeaving tells whether the list shows the upstream at an address as leaving.
func (i *Instances) IsLeaving(address string) bool { return i.last.Load().leaving[address] }
