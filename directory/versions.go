package directory

import (
	"slices"
	"time"
)

// versionUses holds what is known of the versions of a service's upstreams.
type versionUses map[string]*versionUse

// versionUse is the use of one version.
type versionUse struct {
	// listed counts the upstreams in the table, leftAt is when one last left it.
	listed int
	leftAt time.Duration
}

// addVersion counts an upstream that entered the table. The caller must hold mu.
func (t *Table) addVersion(u *Upstream) {
	uses := t.versions[u.Service]
	if uses == nil {
		uses = make(versionUses)
		t.versions[u.Service] = uses
	}
	if uses[u.Version] == nil {
		uses[u.Version] = &versionUse{}
	}
	uses[u.Version].listed++
}

// removeVersion counts an upstream that left the table. The caller must hold mu.
func (t *Table) removeVersion(u *Upstream) {
	use := t.versions[u.Service][u.Version]
	use.listed--
	use.leftAt = t.clock.Now()
}

// Versions returns, sorted, the versions of a service's upstreams that are in the table, in any state, or left it
// within a time, of at most maxDepartedAge.
func (t *Table) Versions(service string, within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var versions []string
	now := t.clock.Now()
	for version, use := range t.versions[service] {
		switch age := now - use.leftAt; {
		case use.listed > 0 || age <= within:
			versions = append(versions, version)
		case age > maxDepartedAge:
			delete(t.versions[service], version)
		}
	}
	slices.Sort(versions)
	return versions
}
