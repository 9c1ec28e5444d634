package node

import (
	"slices"
	"sync"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/membership"
)

// nonLeavingCache caches each service's upstreams without the leaving ones until the
// configuration or the platform's list changes. Filtering for every request would, while an
// upstream leaves, cost more than picking an upstream.
type nonLeavingCache struct {
	byService sync.Map // service name -> *nonLeavingList
}

// nonLeavingList is the cached result for one service. It is immutable.
type nonLeavingList struct {
	// all and version are the inputs from which upstreams was computed.
	all       []*operatorv1.Upstream
	version   uint64
	upstreams []*operatorv1.Upstream
}

func (l *nonLeavingList) madeFrom(all []*operatorv1.Upstream, version uint64) bool {
	return l.version == version && len(l.all) == len(all) && &l.all[0] == &all[0]
}

// get returns all without the upstreams that are leaving, by the platform's list or by their own
// word. All of them must belong to one service.
func (c *nonLeavingCache) get(all []*operatorv1.Upstream, instances *membership.Instances) []*operatorv1.Upstream {
	if len(all) == 0 {
		return all
	}
	service, version := all[0].GetService(), instances.LeavingVersion()
	if cached, found := c.byService.Load(service); found && cached.(*nonLeavingList).madeFrom(all, version) {
		return cached.(*nonLeavingList).upstreams
	}
	// The list is read after its version: if it changes in between, the next request recomputes.
	remaining := all
	isLeaving := func(u *operatorv1.Upstream) bool { return instances.IsLeaving(u.GetAddress()) }
	if slices.ContainsFunc(all, isLeaving) {
		remaining = slices.DeleteFunc(slices.Clone(all), isLeaving)
	}
	c.byService.Store(service, &nonLeavingList{all: all, version: version, upstreams: remaining})
	return remaining
}

// excludeLeaving returns upstreams without those that are leaving.
func (n *Node) excludeLeaving(upstreams []*operatorv1.Upstream) []*operatorv1.Upstream {
	return n.nonLeaving.get(upstreams, n.instances)
}
