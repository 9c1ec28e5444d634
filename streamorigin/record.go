package streamorigin

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// TopicName is the name of the topic.
const TopicName = "streams"

// The topic holds two kinds of records: one for each version of a service, and one for each node that has
// streams to publish.
const (
	versionKeyPrefix = "version/"
	nodeKeyPrefix    = "node/"
)

// versionRecord declares that streams of a service may begin at a version.
type versionRecord struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// nodeRecord lists the streams that began at one incarnation of a node.
type nodeRecord struct {
	Origins []originRecord `json:"origins"`
}

// originRecord lists the streams of one origin by the hashes of their attempts, hashSize bytes each.
type originRecord struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Weights  int64  `json:"weights,omitempty"`
	Attempts []byte `json:"attempts"`
}

// hashSize is the size of an attempt's hash in bytes.
const hashSize = 8

func hashAttempt(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// versionKey returns the key of a version. The hash keeps it short.
func versionKey(o Origin) string {
	raw := make([]byte, 0, 16)
	const hexDigits = "0123456789abcdef"
	for sum := xxhash.Sum64String(o.Service + "\x00" + o.Version); len(raw) < cap(raw); sum >>= 4 {
		raw = append(raw, hexDigits[sum&15])
	}
	return versionKeyPrefix + string(raw)
}

func nodeKey(node, incarnation string) string { return nodeKeyPrefix + node + "/" + incarnation }

// parseNodeKey splits the key of a node's record. Node names hold no slash.
func parseNodeKey(key string) (node, incarnation string, ok bool) {
	rest, found := strings.CutPrefix(key, nodeKeyPrefix)
	if !found {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

func encodeVersion(o Origin) (keyedlog.Record, error) {
	value, err := json.Marshal(versionRecord{o.Service, o.Version})
	return keyedlog.Record{Key: versionKey(o), Value: value}, errors.Trace(err)
}

// encodeNode returns the record of a node's streams; without streams it deletes the last one.
func encodeNode(node, incarnation string, attempts map[Origin][]string) (keyedlog.Record, error) {
	record := keyedlog.Record{Key: nodeKey(node, incarnation)}
	if len(attempts) == 0 {
		record.Deleted = true
		return record, nil
	}
	var rec nodeRecord
	for o, list := range attempts {
		entry := originRecord{Service: o.Service, Version: o.Version, Weights: o.Weights}
		for _, attempt := range list {
			entry.Attempts = binary.BigEndian.AppendUint64(entry.Attempts, hashAttempt(attempt))
		}
		rec.Origins = append(rec.Origins, entry)
	}
	var err error
	record.Value, err = json.Marshal(&rec)
	return record, errors.Trace(err)
}

// view is what the topic said when it was read.
type view struct {
	// versions holds the declared versions of each service.
	versions map[string][]string
	streams  map[uint64]Origin
	keys     []string
	// end is the offset at which the topic ended.
	end int64
}

// decodeView decodes the newest records. It passes over those that can't be decoded and returns their keys.
func decodeView(records []keyedlog.Record) (v *view, undecodable []string) {
	v = &view{versions: make(map[string][]string), streams: make(map[uint64]Origin)}
	for _, r := range records {
		if r.Deleted {
			continue
		}
		v.keys = append(v.keys, r.Key)
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
	case strings.HasPrefix(r.Key, nodeKeyPrefix):
		var rec nodeRecord
		if json.Unmarshal(r.Value, &rec) != nil {
			return false
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
