package config

import (
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// pageBytes is about how large a page gets: well below the four megabytes that gRPC
// takes in one message, which all resources of a large fleet exceed many times.
const pageBytes = 1 << 20

// Page returns the resources behind the key after, sorted by kind and name, and the
// key to continue behind; that is empty at the end.
func (v *View) Page(after string) (page []*operatorv1.VersionedResource, next string) {
	bytes, last := 0, ""
	v.resources.Ascend(after, func(key string, held stored) bool {
		if key == after {
			return true
		}
		if bytes >= pageBytes {
			next = last
			return false
		}
		last = key
		bytes += len(held.packed)
		page = append(page, held.versioned())
		return true
	})
	return page, next
}

func (s stored) versioned() *operatorv1.VersionedResource {
	return &operatorv1.VersionedResource{Version: s.version, Resource: s.unpack()}
}
