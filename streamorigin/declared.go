package streamorigin

import (
	"context"
	"maps"
	"time"
)

// declarations are the versions at which streams may begin, as of the publisher's last step. They are immutable.
type declarations struct {
	// versions are those that are listed and that the topic holds.
	versions map[Origin]bool
	// bases are the base versions of the services that are known; see view.base.
	bases map[string]string
	// failed reports that the publisher couldn't read or write the topic.
	failed bool
	// next is closed once there are later declarations.
	next chan struct{}
}

// MayBegin reports whether a stream of a service may begin at a version: whether the topic holds the version, and this node's
// mark if the version isn't the base. Otherwise nothing would tell, after a power loss of all nodes, that streams began
// there if its upstreams are gone as well. While the topic is out of reach they may begin at the base if this node knows of
// no other version.
func (r *Registry) MayBegin(service, version string) bool {
	return r.declared.Load().allow(r, Origin{Service: service, Version: version})
}

func (d *declarations) allow(r *Registry, o Origin) bool {
	if d.versions[o] {
		// The mark may have lapsed since the publisher's last step.
		return d.bases[o.Service] == o.Version || r.deps.Clock.Now() < time.Duration(r.markedUntil.Load())
	}
	if !d.failed || !o.IsListed() {
		return false
	}
	known := r.knownVersions(o.Service)
	return len(known) == 1 && known[0] == o.Version && d.bases[o.Service] == o.Version
}

// AwaitBegin waits until a stream of a service may begin at one of some versions, and reports whether that is so. It
// waits no longer than ctx.
func (r *Registry) AwaitBegin(ctx context.Context, service string, versions []string) bool {
	for {
		d := r.declared.Load()
		for _, version := range versions {
			if d.allow(r, Origin{Service: service, Version: version}) {
				return true
			}
		}
		select {
		case <-d.next:
		case <-ctx.Done():
			return false
		}
	}
}

// setDeclared tells requests at which versions streams may begin.
func (r *Registry) setDeclared(versions map[Origin]bool, bases map[string]string, failed bool) {
	old := r.declared.Load()
	if old.failed == failed && maps.Equal(old.versions, versions) && maps.Equal(old.bases, bases) {
		return
	}
	r.declared.Store(&declarations{versions: versions, bases: maps.Clone(bases), failed: failed, next: make(chan struct{})})
	close(old.next)
}
