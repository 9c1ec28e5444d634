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
	// listInterval is the time between two requests for the platform's instance list.
	// Together with the response time it stays well below the three seconds within which
	// a leaving upstream must stop getting new work.
	listInterval = time.Second
	// listTimeout bounds one request and maxConcurrentLists how many are in flight. Requests
	// overlap so that a slow platform is polled as often as a fast one: waiting for each
	// response would add the response time to the interval.
	listTimeout        = 5 * time.Second
	maxConcurrentLists = int(listTimeout / listInterval)
	roleEntry          = "entry"
	roleUpstream       = "upstream"
)

// Instances polls the platform's instance list and caches the last response. It is safe
// for concurrent use.
type Instances struct {
	list     ports.InstanceList
	clock    clockwork.Clock
	events   *event.Recorder
	last     atomic.Pointer[listing]
	requests atomic.Uint64

	mu   sync.Mutex
	down bool
	// latestReply is the number of the latest request that was answered or failed.
	latestReply uint64
}

// listing is one response, indexed for the request path. It is immutable.
type listing struct {
	peers   []string
	leaving map[string]bool
	// saidLeaving holds the upstreams that said themselves that they are leaving.
	saidLeaving map[string]departure
	// upstreams is the set of addresses of all upstreams in the response, and pastUpstreams of
	// those in any response.
	upstreams     map[string]bool
	pastUpstreams map[string]bool
	// entries is the set of addresses of all entry instances, live or leaving.
	entries map[string]bool
	// receivedAt is when the response arrived, zero before the first.
	receivedAt time.Time
	// leavingVersion counts the changes of leaving and saidLeaving.
	leavingVersion uint64
}

// NewInstances returns Instances with an empty list.
func NewInstances(list ports.InstanceList, clock clockwork.Clock, events *event.Recorder) *Instances {
	i := &Instances{list: list, clock: clock, events: events}
	i.last.Store(&listing{leaving: map[string]bool{}})
	return i
}

// Run polls the list until ctx is done.
func (i *Instances) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	inFlight := make(chan struct{}, maxConcurrentLists)
	periodic.RunNow(ctx, i.clock, listInterval, func(ctx context.Context) {
		select {
		case inFlight <- struct{}{}:
			wait.Go(func() {
				i.Refresh(ctx)
				<-inFlight
			})
		default:
		}
	})
}

// Refresh requests the list once. If that fails, the last response stays in use: leaving
// upstreams stay excluded, and no node counts as gone because of the failure. A response
// overtaken by that of a later request is dropped, as it could make a leaving upstream
// available again.
func (i *Instances) Refresh(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, i.clock, listTimeout)
	defer cancel()
	number := i.requests.Add(1)
	instances, err := i.list.List(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if number < i.latestReply {
		return
	}
	i.latestReply = number
	if err != nil {
		if !i.down {
			i.events.Record(event.InstancesDown, "why", err)
		}
		i.down = true
		return
	}
	i.down = false
	i.apply(instances)
}

func (i *Instances) apply(instances []*platformv1.Instance) {
	before := i.last.Load()
	// An upstream that was leaving and is no longer listed is gone, so it stays in leaving.
	current := &listing{leaving: maps.Clone(before.leaving), entries: map[string]bool{}, upstreams: map[string]bool{},
		pastUpstreams: before.pastUpstreams, receivedAt: i.clock.Now()}
	for _, instance := range instances {
		if instance.GetRole() == roleUpstream {
			current.upstreams[instance.GetAddress()] = true
		}
		if instance.GetRole() == roleEntry {
			current.entries[instance.GetAddress()] = true
		}
		leaving := instance.GetState() == platformv1.InstanceState_INSTANCE_STATE_LEAVING
		switch {
		case instance.GetRole() == roleEntry && !leaving:
			current.peers = append(current.peers, instance.GetAddress())
		case instance.GetRole() == roleUpstream && !leaving:
			delete(current.leaving, instance.GetAddress())
		case instance.GetRole() == roleUpstream:
			current.leaving[instance.GetAddress()] = true
			if !before.leaving[instance.GetAddress()] {
				i.events.Record(event.UpstreamLeaving, "upstream", instance.GetAddress(), "source", sourceList)
			}
		}
	}
	current.addPastUpstreams()
	current.saidLeaving = current.remainingDepartures(before.saidLeaving)
	current.leavingVersion = before.leavingVersion
	if !maps.Equal(current.leaving, before.leaving) || len(current.saidLeaving) != len(before.saidLeaving) {
		current.leavingVersion++
	}
	i.last.Store(current)
}

// PeerAddresses returns the peer addresses of all live entry instances.
func (i *Instances) PeerAddresses() []string { return i.last.Load().peers }

// EntryAddresses returns the peer addresses of all entry instances in the last response,
// live or leaving, and when it arrived. The map must not be modified.
func (i *Instances) EntryAddresses() (addresses map[string]bool, at time.Time) {
	last := i.last.Load()
	return last.entries, last.receivedAt
}

// LeavingVersion returns a number that increases whenever the set of leaving upstreams changes.
func (i *Instances) LeavingVersion() uint64 { return i.last.Load().leavingVersion }

// IsLeaving reports whether the upstream at an address is listed as leaving or said that it is.
func (i *Instances) IsLeaving(address string) bool {
	last := i.last.Load()
	return last.leaving[address] || last.saidLeaving[address].stage != notLeaving
}
