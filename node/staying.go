package node

import (
	"slices"
	"sync"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/membership"
)

// stayingLists keeps, for each service, its upstreams without those that leave, until
// the configuration or the platform's list changes. Made for each request, the list
// would cost one that goes by while an upstream leaves more than choosing among it.
type stayingLists struct {
	byService sync.Map // service name -> *stayingList
}

// stayingList is immutable.
type stayingList struct {
	// all and changes are what kept was made from.
	all     []*operatorv1.Upstream
	changes uint64
	kept    []*operatorv1.Upstream
}

func (l *stayingList) isOf(all []*operatorv1.Upstream, changes uint64) bool {
	return l.changes == changes && len(l.all) == len(all) && &l.all[0] == &all[0]
}

// of leaves out the upstreams that the platform's list shows as leaving. All must be of
// one service.
func (s *stayingLists) of(all []*operatorv1.Upstream, instances *membership.Instances) []*operatorv1.Upstream {
	if len(all) == 0 {
		return all
	}
	service, changes := all[0].GetService(), instances.LeavingVersion()
	if held, found := s.byService.Load(service); found && held.(*stayingList).isOf(all, changes) {
		return held.(*stayingList).kept
	}
	// Read after changes: should the list change meanwhile, the next request makes it anew.
	kept := all
	leaves := func(u *operatorv1.Upstream) bool { return instances.IsLeaving(u.GetAddress()) }
	if slices.ContainsFunc(all, leaves) {
		kept = slices.DeleteFunc(slices.Clone(all), leaves)
	}
	s.byService.Store(service, &stayingList{all: all, changes: changes, kept: kept})
	return kept
}

// staying leaves out the upstreams that the platform's list shows as leaving.
func (n *Node) staying(upstreams []*operatorv1.Upstream) []*operatorv1.Upstream {
	return n.remaining.of(upstreams, n.instances)
}
