package streamorigin

import (
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// retirementAge is how long no upstream of a version may have been listed, or an incarnation of a node not have
// been seen, before its record is deleted.
const retirementAge = 2 * maxLife

// cleaner finds the records that nobody needs any more: declarations of versions without upstreams, and records
// of incarnations that have ended.
type cleaner struct {
	deps *Deps
	// goneSince is when the version or incarnation of each record was first found to be gone, by the record's key.
	goneSince map[string]time.Duration
}

// stale returns the deletions that are due.
func (c *cleaner) stale(v *view, now time.Duration) []keyedlog.Record {
	var stale []keyedlog.Record
	for service, versions := range v.versions {
		listed := c.deps.Versions(service, retirementAge)
		for _, version := range versions {
			key := versionKey(Origin{Service: service, Version: version})
			if !c.isOverdue(key, slices.Contains(listed, version), now) {
				continue
			}
			stale = append(stale, keyedlog.Record{Key: key, Deleted: true})
			c.deps.Events.Record(event.VersionDeclared, "service", service, "version", version, "declared", false)
		}
	}
	for _, key := range v.keys {
		node, incarnation, ok := parseNodeKey(key)
		if ok && c.isOverdue(key, c.deps.IsLive(node, incarnation), now) {
			stale = append(stale, keyedlog.Record{Key: key, Deleted: true})
		}
	}
	return stale
}

// isOverdue reports whether the version or incarnation of a record has been gone for retirementAge, as far as this process saw it.
func (c *cleaner) isOverdue(key string, present bool, now time.Duration) bool {
	since, known := c.goneSince[key]
	switch {
	case present:
		delete(c.goneSince, key)
		return false
	case !known:
		c.goneSince[key] = now
		return false
	case now-since < retirementAge:
		return false
	}
	delete(c.goneSince, key)
	return true
}
