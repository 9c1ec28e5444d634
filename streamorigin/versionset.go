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
	// bases are the base versions of the services, as far as this node knows them; see view.base. lasting holds those that
	// have been listed since they were the only version: nobody deletes their declarations.
	bases   map[string]string
	lasting map[Origin]bool
}

func newVersionSet(r *Registry) *versionSet {
	return &versionSet{registry: r, declared: make(map[Origin]bool), listed: make(map[Origin]bool), bases: make(map[string]string), lasting: make(map[Origin]bool)}
}

// look looks at the list of upstreams. A version that is new in it counts as undeclared, and isn't the base, until the topic was
// read: its declaration may have been deleted since.
func (s *versionSet) look() {
	listed := make(map[Origin]bool)
	add := func(o Origin) {
		listed[o] = true
		if !s.listed[o] {
			delete(s.declared, o)
			if s.bases[o.Service] == o.Version {
				delete(s.bases, o.Service)
			}
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

// learn takes over the versions that the topic holds. A base stays one while it is declared.
func (s *versionSet) learn(v *view) {
	clear(s.declared)
	for service, versions := range v.versions {
		for _, version := range versions {
			s.declared[Origin{Service: service, Version: version}] = true
		}
		if base := v.base(service); base != "" {
			s.bases[service] = base
		}
	}
	maps.DeleteFunc(s.bases, func(service, version string) bool { return !slices.Contains(v.versions[service], version) })
}

// withoutBase returns the services with listed versions whose base isn't known.
func (s *versionSet) withoutBase() []string {
	var services []string
	for o := range s.listed {
		if s.bases[o.Service] == "" && !slices.Contains(services, o.Service) {
			services = append(services, o.Service)
		}
	}
	return services
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

// usable returns the versions that are listed, that the topic is known to hold, and at which this node may begin streams: the
// base, if it is lasting, and all versions of services in which the node is marked. A declaration is deleted only some
// minutes after the version's last upstream went, so one of a version that is listed no more, or has just come back, may be gone
// already.
func (s *versionSet) usable(marked map[string]bool) map[Origin]bool {
	mixed := s.mixed()
	usable := make(map[Origin]bool)
	for o := range s.listed {
		if !s.declared[o] {
			continue
		}
		isBase := s.bases[o.Service] == o.Version
		if isBase && !mixed[o.Service] {
			s.lasting[o] = true
		}
		if marked[o.Service] || isBase && s.lasting[o] {
			usable[o] = true
		}
	}
	maps.DeleteFunc(s.lasting, func(o Origin, _ bool) bool { return !s.listed[o] })
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
