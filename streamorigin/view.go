package streamorigin

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// view is what the topic said when it was read.
type view struct {
	// versions holds the declared versions of each service.
	versions map[string][]string
	// declarations holds what is known of each declared version.
	declarations map[Origin]declaration
	// marked holds the incarnations that may have begun streams of a service at versions other than the base.
	marked  map[string][]incarnation
	streams map[uint64]Origin
	// offsets are those of the records, by their keys.
	offsets map[string]int64
	// end is the offset at which the topic ended when the reading began.
	end int64
}

// declaration is a declared version's record.
type declaration struct {
	offset int64
	// earlier holds the offsets of the declarations that the record's writer had read.
	earlier map[string]int64
}

// decodeView decodes the newest records. It passes over those that can't be decoded and returns their keys. end is the
// offset at which the topic ended when the reading began.
func decodeView(records []keyedlog.Record, end int64) (v *view, undecodable []string) {
	v = &view{versions: make(map[string][]string), declarations: make(map[Origin]declaration), marked: make(map[string][]incarnation), streams: make(map[uint64]Origin), offsets: make(map[string]int64), end: end}
	for _, r := range records {
		if r.Deleted {
			continue
		}
		v.offsets[r.Key] = r.Offset
		if !v.add(r) {
			undecodable = append(undecodable, r.Key)
		}
	}
	return v, undecodable
}

func (v *view) add(r keyedlog.Record) bool {
	switch {
	case strings.HasPrefix(r.Key, versionKeyPrefix):
		var rec versionRecord
		if json.Unmarshal(r.Value, &rec) != nil {
			return false
		}
		v.versions[rec.Service] = append(v.versions[rec.Service], rec.Version)
		v.declarations[Origin{Service: rec.Service, Version: rec.Version}] = declaration{r.Offset, rec.Earlier}
	case strings.HasPrefix(r.Key, nodeKeyPrefix):
		var rec nodeRecord
		node, id, ok := parseNodeKey(r.Key)
		if !ok || json.Unmarshal(r.Value, &rec) != nil {
			return false
		}
		for _, service := range rec.Marked {
			v.marked[service] = append(v.marked[service], incarnation{node, id})
		}
		for _, o := range rec.Origins {
			for hash := range slices.Chunk(o.Attempts, hashSize) {
				if len(hash) < hashSize {
					return false
				}
				v.streams[binary.BigEndian.Uint64(hash)] = Origin{Service: o.Service, Version: o.Version, Weights: o.Weights}
			}
		}
	default:
		return false
	}
	return true
}

// base returns the version of a service at which a node may begin streams without being marked; empty if there is none
// for certain. It is the one that all others were declared after, by nodes that had read its declaration as it still
// stands. While it is declared no other version becomes the base.
func (v *view) base(service string) string {
	for _, version := range v.versions[service] {
		if v.isBase(service, version) {
			return version
		}
	}
	return ""
}

func (v *view) isBase(service, version string) bool {
	offset := v.declarations[Origin{Service: service, Version: version}].offset
	// The pages of a reading aren't of one moment. A version declared meanwhile may be seen without an earlier one.
	if offset >= v.end {
		return false
	}
	for _, other := range v.versions[service] {
		if other == version {
			continue
		}
		read, ok := v.declarations[Origin{Service: service, Version: other}].earlier[version]
		if !ok || read != offset {
			return false
		}
	}
	return true
}

// earlier returns the offsets of a service's declarations that were written before the reading began.
func (v *view) earlier(service string) map[string]int64 {
	earlier := make(map[string]int64)
	for _, version := range v.versions[service] {
		if offset := v.declarations[Origin{Service: service, Version: version}].offset; offset < v.end {
			earlier[version] = offset
		}
	}
	return earlier
}
