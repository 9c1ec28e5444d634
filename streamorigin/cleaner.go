package streamorigin

import (
	"maps"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// retirementAge is how long no upstream of a version may have been listed, or an incarnation of a node not have
// been seen, before its record is deleted.
const retirementAge = 2 * MaxLife

// cleaner finds the records that nobody needs any more: declarations of versions without upstreams, and records
// of incarnations that have ended.
type cleaner struct {
	deps *Deps
	// goneSince is when the version or incarnation of each record was first found to be gone, by the record's key.
	goneSince map[string]time.Duration
	// offsets are those of the nodes' records, by their keys.
	offsets map[string]int64
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
	maps.DeleteFunc(c.offsets, func(key string, _ int64) bool { _, found := v.offsets[key]; return !found })
	for key := range v.offsets {
		node, incarnation, ok := parseNodeKey(key)
		if ok && c.isOverdue(key, c.deps.IsLive(node, incarnation) || c.isNew(key, v.offsets[key]), now) {
			stale = append(stale, keyedlog.Record{Key: key, Deleted: true})
		}
	}
	return stale
}

// isNew reports whether a record was written anew since this process last saw it, as only a live node does.
func (c *cleaner) isNew(key string, offset int64) bool {
	last, known := c.offsets[key]
	c.offsets[key] = offset
	return !known || last != offset
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
