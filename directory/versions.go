package directory

import (
	"slices"
	"time"
)

// serviceVersion is a version of the software of a service's upstreams.
type serviceVersion struct{ service, version string }

func (e *Entry) serviceVersion() serviceVersion { return serviceVersion{e.Service, e.Version} }

// recordVersionGone records that an upstream of a version left the table. The caller must hold mu.
func (t *Table) recordVersionGone(u *Upstream) {
	t.versionsGone[u.serviceVersion()] = t.clock.Now()
}

// Versions returns, sorted, the versions of a service's upstreams that are in the table, in any state, or left it
// within a time.
func (t *Table) Versions(service string, within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var versions []string
	for _, u := range t.entries {
		if u.Service == service && !slices.Contains(versions, u.Version) {
			versions = append(versions, u.Version)
		}
	}
	now := t.clock.Now()
	for v, goneAt := range t.versionsGone {
		switch {
		case now-goneAt > max(within, maxDepartedAge):
			delete(t.versionsGone, v)
		case v.service == service && now-goneAt <= within && !slices.Contains(versions, v.version):
			versions = append(versions, v.version)
		}
	}
	slices.Sort(versions)
	return versions
}
