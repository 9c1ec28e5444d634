package streamorigin

import (
	"cmp"
	"maps"
	"slices"
)

// versionSet is what a node knows of the versions at which streams may have begun.
type versionSet struct {
	registry *Registry
	// declared are the versions that the topic is known to hold.
	declared map[Origin]bool
	// listed are the versions that this node's list of upstreams held at the last look, and those of streams that
	// began at no listed one.
	listed map[Origin]bool
}

func newVersionSet(r *Registry) *versionSet {
	return &versionSet{registry: r, declared: make(map[Origin]bool), listed: make(map[Origin]bool)}
}

// look looks at the list of upstreams. A version that is new in it counts as undeclared until the topic was read:
// its declaration may have been deleted since.
func (s *versionSet) look() {
	listed := make(map[Origin]bool)
	add := func(o Origin) {
		listed[o] = true
		if !s.listed[o] {
			delete(s.declared, o)
		}
	}
	for _, service := range s.registry.deps.Services() {
		for _, version := range s.registry.listed(service) {
			add(Origin{Service: service, Version: version})
		}
	}
	for _, o := range s.registry.table.unlisted() {
		add(Origin{Service: o.Service, Version: o.Version})
	}
	s.listed = listed
}

// learn takes over the versions that the topic holds.
func (s *versionSet) learn(v *view) {
	clear(s.declared)
	for service, versions := range v.versions {
		for _, version := range versions {
			s.declared[Origin{Service: service, Version: version}] = true
		}
	}
}

// undeclared returns the listed versions that the topic isn't known to hold.
func (s *versionSet) undeclared() []Origin {
	var missing []Origin
	for o := range s.listed {
		if !s.declared[o] {
			missing = append(missing, o)
		}
	}
	slices.SortFunc(missing, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return missing
}

// usable returns the versions that are listed and that the topic is known to hold. A declaration is deleted only some
// minutes after the version's last upstream went, so one of a version that is listed no more may be gone already.
func (s *versionSet) usable() map[Origin]bool {
	usable := make(map[Origin]bool)
	for o := range s.listed {
		if s.declared[o] {
			usable[o] = true
		}
	}
	return usable
}

// mixed returns the services that have several versions.
func (s *versionSet) mixed() map[string]bool {
	known := maps.Clone(s.declared)
	maps.Copy(known, s.listed)
	count := make(map[string]int)
	for o := range known {
		count[o.Service]++
	}
	mixed := make(map[string]bool)
	for service, n := range count {
		if n > 1 {
			mixed[service] = true
		}
	}
	return mixed
}
