package config

import (
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// pageBytes is the approximate size of a page. It is well below gRPC's message limit of
// four megabytes, which all resources of a large fleet exceed many times.
const pageBytes = 1 << 20

// Page returns the resources following the key after, sorted by kind and name, and the
// key to pass for the next page, which is empty on the last page.
func (v *View) Page(after string) (page []*operatorv1.VersionedResource, next string) {
	size, last := 0, ""
	v.resources.Ascend(after, func(key string, stored storedResource) bool {
		if key == after {
			return true
		}
		if size >= pageBytes {
			next = last
			return false
		}
		last = key
		size += len(stored.packed)
		page = append(page, stored.versioned())
		return true
	})
	return page, next
}

func (s storedResource) versioned() *operatorv1.VersionedResource {
	return &operatorv1.VersionedResource{Version: s.version, Resource: s.unpack()}
}
